"""A TCP relay that can be cut, to partition a domain from the platform."""

import socket
import threading


class Relay:
    def __init__(self, target):
        host, port = target.rsplit(":", 1)
        self.target = (host, int(port))
        self.cut = False
        self.connections = set()
        self.lock = threading.Lock()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def set_cut(self, cut):
        """Closes open connections and rejects new ones, or accepts connections again."""
        with self.lock:
            self.cut = cut
            pairs = list(self.connections) if cut else []
        for pair in pairs:
            self._close(pair)

    def close(self):
        self.set_cut(True)
        self.listener.close()

    def _accept(self):
        while True:
            try:
                client, _ = self.listener.accept()
            except OSError:
                return
            if self.cut:
                client.close()
                continue
            try:
                server = socket.create_connection(self.target)
            except OSError:
                client.close()
                continue
            pair = (client, server)
            with self.lock:
                self.connections.add(pair)
            for source, destination in (pair, pair[::-1]):
                threading.Thread(
                    target=self._copy, args=(pair, source, destination), daemon=True
                ).start()

    def _copy(self, pair, source, destination):
        try:
            while data := source.recv(65536):
                destination.sendall(data)
        except OSError:
            pass
        self._close(pair)

    def _close(self, pair):
        with self.lock:
            self.connections.discard(pair)
        for endpoint in pair:
            try:
                endpoint.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            endpoint.close()
