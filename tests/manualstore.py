"""A store whose calls are answered by hand."""

from wisteriatiller.steering.ports import StoreReader


class ManualStore(StoreReader):
    """Keeps the last call until a step answers it."""

    def __init__(self):
        self.call = None
        self._on_answer = None

    def read_config(self, on_answer):
        self.call, self._on_answer = "read", on_answer

    def watch_config(self, after, wait_s, on_answer):
        self.call, self._on_answer = "watch", on_answer

    def list_upstreams(self, is_current, on_answer):
        self.call = "current listing" if is_current else "stale listing"
        self._on_answer = on_answer

    def set_address(self, address):
        raise NotImplementedError

    def answer(self, call, answer):
        assert self.call == call, self.call
        # The answer may lead to the next call.
        self.call = None
        self._on_answer(answer)
