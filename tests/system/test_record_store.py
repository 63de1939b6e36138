import builtins
import dbm.dumb
import errno
import os
import random
import tempfile
import threading
from dataclasses import dataclass, field

from ward import fixture, raises, test

from stoneyoke.lab.simulation.disks import PowerLost, SimulatedRecordStore
from stoneyoke.storage import record_store
from stoneyoke.storage.errors import StorageError
from stoneyoke.storage.record_store import RecordStore


@fixture
def folder():
    with tempfile.TemporaryDirectory() as name:
        yield name


@test("what was kept is read back by a new start, the newest first")
def _(folder=folder):
    hold = RecordStore(folder)
    for at in range(6):
        hold.save("word", {b"body": b"%d" % at})
    hold.save("crew", {b"names": b"x"})
    assert RecordStore(folder).load("word") == ({b"body": b"5"}, [])
    assert RecordStore(folder).load("crew") == ({b"names": b"x"}, [])
    assert (
        len({name.split(".")[0] for name in os.listdir(folder) if name.startswith("word")}) == record_store.RECORDS_KEPT
    )


@dataclass
class History:
    """What one family was given: each record by its place, and the newest that a keep or a load has confirmed."""

    begun: list[dict[bytes, bytes]] = field(default_factory=list)
    sure: int = -1

    def check(self, loaded):
        place = self.begun.index(loaded) if loaded is not None else -1
        assert place >= self.sure, f"record {place} is older than {self.sure}"
        self.sure = place


class DiskTrial:
    """A store through keeps, failures, kills and losses of power, by lot; each start is checked against what was kept
    and what an earlier start was given."""

    def __init__(self, folder, seed):
        self.folder, self.random_source = folder, random.Random(seed)
        self.histories = {"promise": History(), "register": History(), "identity": History()}
        self.store = SimulatedRecordStore(folder)

    def save(self, family):
        history = self.histories[family]
        size = self.random_source.choice((0, 30, 600, 3000)) if family == "register" else 8
        history.begun.append({b"body": b"%s %d " % (family.encode(), len(history.begun)) + b"x" * size, b"more": b"y"})
        try:
            self.store.save(family, history.begun[-1])
        except StorageError:
            return False
        history.sure = len(history.begun) - 1
        return True

    def start(self, power):
        """The process ended, with its machine's power or without; the next one begins."""
        self.store.steps_left = -1
        if power:
            self.store.lose_power(self.random_source)
        elif self.random_source.random() < 0.5:
            self.cut_writes_short()
        self.store = SimulatedRecordStore(self.folder, self.store.state)
        self.check()

    def cut_writes_short(self):
        """A killed process may have written a part of what it had not synced yet."""
        for name in sorted(os.listdir(self.folder)):
            content = self.store.content(name)
            if content != self.store.state.contents.get(name) and self.random_source.random() < 0.5:
                os.truncate(os.path.join(self.folder, name), self.random_source.randrange(len(content) + 1))

    def check(self):
        for family, history in self.histories.items():
            history.check(self.store.load(family)[0])

    def step(self):
        family = self.random_source.choice(list(self.histories))
        match self.random_source.choice(("keep", "keep", "keep", "refused", "full", "ends", "ends", "restart", "load")):
            case "keep":
                self.save(family)
            case "refused":
                self.store.refuses = True
                assert not self.save(family)
                self.store.refuses = False
            case "full":
                self.store.capacity_bytes = self.random_source.randrange(12000)
                self.save(family)
                self.store.capacity_bytes = None
            case "ends":
                self.store.steps_left = self.random_source.randrange(12)
                try:
                    for _ in range(2):
                        self.save(family)
                except PowerLost:
                    pass
                self.start(self.random_source.random() < 0.7)
            case "restart":
                self.start(self.random_source.random() < 0.7)
            case "load":
                self.check()

    def recover(self):
        """The disk is well again: each family takes what it is given, and no more than its share is left."""
        for family in self.histories:
            for _ in range(record_store.RECORDS_KEPT):
                assert self.save(family)
        self.start(power=False)
        held = [(family, number) for family, number, _ in self.store.record_files()]
        assert len(held) == len(self.histories) * record_store.RECORDS_KEPT * 2, sorted(os.listdir(self.folder))


@test("through failures, kills and losses of power no load gives less than was kept, or loaded, before")
def _():
    for seed in range(80):
        with tempfile.TemporaryDirectory() as folder:
            trial = DiskTrial(folder, seed)
            try:
                for _ in range(25):
                    trial.step()
                trial.recover()
            except AssertionError as wrong:
                raise AssertionError(f"seed {seed}: {wrong}") from wrong


@test("what a killed process wrote and did not sync is synced before it is loaded, or not loaded")
def _(folder=folder):
    store = SimulatedRecordStore(folder)
    store.save("register", {b"body": b"1"})
    store.steps_left = 2  # both files are whole, the first is synced
    with raises(PowerLost):
        store.save("register", {b"body": b"2"})
    store = SimulatedRecordStore(folder, store.state)
    store.refuses = True
    with raises(StorageError):
        store.load("register")
    store.refuses = False
    assert store.load("register")[0] == {b"body": b"2"}
    for seed in range(20):
        store.lose_power(random.Random(seed))
        assert SimulatedRecordStore(folder, store.state).load("register")[0] == {b"body": b"2"}


@test("a record that can't be opened now is no reason to read the one before it")
def _(folder=folder):
    store, real = RecordStore(folder), builtins.open
    for body in (b"1", b"2"):
        store.save("register", {b"body": body})

    def refuse(path, *args, **kwargs):
        if os.fsdecode(path).endswith("register-2.dat"):
            raise OSError(errno.EMFILE, "too many open files")
        return real(path, *args, **kwargs)

    dbm.dumb._io.open = refuse
    try:
        with raises(StorageError):
            RecordStore(folder).load("register")
    finally:
        dbm.dumb._io.open = real
    assert RecordStore(folder).load("register")[0] == {b"body": b"2"}


@test("halves of records, and files of other names, hide nothing and are not in the way")
def _(folder=folder):
    for name in ("register-9.dat", "register-8.dir", "register-7.bak", "register-007.dir", "register-1.dat.old", "x"):
        with open(os.path.join(folder, name), "wb") as file:
            file.write(b"\0\xff'")
    os.mkdir(os.path.join(folder, "register-12.dat"))
    store = RecordStore(folder)
    assert store.load("register")[0] is None
    store.save("register", {b"body": b"1"})
    with open(os.path.join(folder, "register-20.dir"), "wb") as file:
        file.write(b"'body', (0, 1)\n")
    again = RecordStore(folder)
    assert again.load("register")[0] == {b"body": b"1"} and again.next_number == 21


@test("500 records leave the last few, in a few times the bytes of one")
def _(folder=folder):
    store, body = SimulatedRecordStore(folder), b"x" * 5000
    for at in range(500):
        store.save("register", {b"body": body + b"%d" % at})
        store.save("promise", {b"ballot": b"%d" % at})
    names = os.listdir(folder)
    assert len(names) == 2 * 2 * record_store.RECORDS_KEPT  # two families, two files each
    assert sum(os.path.getsize(os.path.join(folder, name)) for name in names) < record_store.RECORDS_KEPT * (
        5000 + 6 * 1024
    )


@test("a full disk keeps the newest alone, refuses what does not fit, and takes the next as soon as there is room")
def _(folder=folder):
    store = SimulatedRecordStore(folder)
    for at in range(5):
        store.save("register", {b"body": b"%d" % at * 4000})
        store.save("promise", {b"ballot": b"%d" % at})
    store.capacity_bytes = 14000  # two of the register and one promise
    for at in range(5, 20):
        store.save("register", {b"body": b"%d" % (at % 10) * 4000})
    with raises(StorageError):
        store.save("register", {b"body": b"z" * 16000})
    for _ in range(30):  # many failures leave nothing either
        with raises(StorageError):
            store.save("promise", {b"ballot": b"z" * 16000})
    again = SimulatedRecordStore(folder, store.state)
    assert again.load("register")[0] == {b"body": b"9" * 4000} and again.load("promise")[0] == {b"ballot": b"4"}
    assert len(os.listdir(folder)) <= 6
    again.capacity_bytes = 40000
    again.save("register", {b"body": b"z" * 16000})


@test("a keep that was given up on while the disk stood still does not outlive the one after it")
def _(folder=folder):
    class StalledStore(SimulatedRecordStore):
        def sync_path(self, path):
            reached.set()
            assert goes_on.wait(10)
            super().sync_path(path)

    reached, goes_on = threading.Event(), threading.Event()
    store = StalledStore(folder)
    threads = [threading.Thread(target=store.save, args=("register", {b"body": body})) for body in (b"1", b"2")]
    threads[0].start()
    assert reached.wait(10)
    threads[1].start()
    goes_on.set()
    for thread in threads:
        thread.join(10)
    assert store.load("register")[0] == RecordStore(folder).load("register")[0] == {b"body": b"2"}


@test("a record torn anywhere, or half missing, is thrown away and the one before it is read")
def _(folder=folder):
    random_source = random.Random(5)
    for at in range(60):
        hold = RecordStore(folder)
        hold.save("word", {b"body": b"sure %d" % at * 50})
        hold.save("word", {b"body": b"torn %d" % at * 50})
        newest = f"word-{hold.next_number - 1}"
        path = os.path.join(folder, newest + random_source.choice((".dat", ".dir")))
        data = open(path, "rb").read()
        how = at % 4
        if how == 0:
            os.remove(path)
        else:
            spot = random_source.randrange(len(data))
            torn = (
                data[:spot],
                data[:spot] + bytes(len(data) - spot),
                data[:spot] + bytes([data[spot] ^ 0x55]) + data[spot + 1 :],
            )[how - 1]
            open(path, "wb").write(torn)
        found, wrong = RecordStore(folder).load("word")
        assert found == {b"body": b"sure %d" % at * 50} or found == {b"body": b"torn %d" % at * 50}
        assert wrong or found == {b"body": b"torn %d" % at * 50}


@test("a name is never used again, though its record was dropped")
def _(folder=folder):
    hold = RecordStore(folder)
    hold.save("word", {b"body": b"1"})
    assert RecordStore(folder).next_number == 2


@test("files and folder are synced before keep returns, and a disk that refuses raises StorageError")
def _(folder=folder):
    synced, real = [], os.fsync
    hold = RecordStore(folder)
    try:
        os.fsync = lambda number: synced.append(os.readlink(f"/proc/self/fd/{number}"))
        hold.save("word", {b"body": b"1"})
        assert [os.path.basename(name) for name in synced[:2]] == ["word-1.dat", "word-1.dir"]
        assert synced[-1] == os.path.realpath(folder)

        def refuse(_):
            raise OSError(5, "refused")

        os.fsync = refuse
        with raises(StorageError):
            hold.save("word", {b"body": b"2"})
    finally:
        os.fsync = real
    assert RecordStore(folder).load("word")[0] == {b"body": b"1"}
