"""A TCP proxy between one instance and the store, with faults of the network."""

import select
import socket
import threading
import time

CHUNK = 65536
MODES = ("pass", "delay", "silent", "answers-lost", "refuse")


class StoreProxy:
    """Listens on a port of its own. Faults are set by set_mode():

    pass          as if it were not there
    delay         each piece of data waits for DELAY_S
    silent        nothing passes, connections stay open
    answers-lost  calls arrive, answers are swallowed
    refuse        new connections are closed at once
    """

    DELAY_S = 0.25
    WAIT_S = 0.1

    def __init__(self, upstream):
        host, port = upstream.rsplit(":", 1)
        self.upstream = host, int(port)
        self.mode = "pass"
        self.stopped = False
        self.lock = threading.Lock()
        self.open = set()
        self.sock = socket.socket()
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(64)
        self.sock.settimeout(self.WAIT_S)
        self.address = "127.0.0.1:%d" % self.sock.getsockname()[1]
        self.thread = threading.Thread(target=self.accept, daemon=True)
        self.thread.start()

    def set_mode(self, mode):
        self.mode = mode

    def reset_all(self):
        """Resets the open connections; new ones work."""
        with self.lock:
            for sock in self.open:
                try:
                    # Lingering for no time sends a reset instead of an orderly end.
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                    sock.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass  # it has ended by itself

    def accept(self):
        while not self.stopped:
            try:
                down, _ = self.sock.accept()
            except socket.timeout:
                continue
            except OSError:
                return
            if self.mode == "refuse":
                down.close()
                continue
            threading.Thread(target=self.pump, args=(down,), daemon=True).start()

    def pump(self, down):
        up = socket.socket()
        with self.lock:
            self.open |= {down, up}
        try:
            up.connect(self.upstream)
            while not self.stopped and self.carry(down, up):
                pass
        except OSError:
            pass  # either end has gone: the other one sees it by the close below
        finally:
            with self.lock:
                self.open -= {down, up}
            down.close()
            up.close()

    def carry(self, down, up):
        """Carries what is there; False at the end of either side."""
        if self.mode == "silent":
            time.sleep(self.WAIT_S)
            return True
        for sock in select.select([down, up], [], [], self.WAIT_S)[0]:
            if self.mode == "silent":
                return True
            data = sock.recv(CHUNK)
            if not data:
                return False
            if self.mode == "delay":
                time.sleep(self.DELAY_S)
            if sock is down:
                up.sendall(data)
            elif self.mode != "answers-lost":
                down.sendall(data)
        return True

    def stop(self):
        self.stopped = True
        self.sock.close()
        self.reset_all()
        self.thread.join()
