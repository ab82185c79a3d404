"""Servers of cheroot that may be stopped while a thread ends an answer."""

from typing import Any

from cheroot.server import HTTPServer


class StoppableServer(HTTPServer):
    """A server that closes connections which are returned during its stop."""

    def put_conn(self, conn: Any) -> None:
        """Wait for the next request of a connection.

        A stop may close the selector after cheroot has checked for a stop.
        """
        try:
            super().put_conn(conn)
        except ValueError:
            self.error_log('connection closed, as the server has stopped')
            conn.close()
