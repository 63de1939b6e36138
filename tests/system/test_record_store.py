"""The record store: what was saved or loaded is never lost, through crashes, power losses and full disks."""

import builtins
import contextlib
import dbm.dumb
import errno
import os
import random
import tempfile
import threading
from dataclasses import dataclass, field

from ward import each, fixture, raises, test

from stoneyoke.lab.simulation.disks import PowerLost, SimulatedRecordStore
from stoneyoke.storage.errors import RecordNotRead, RecordNotWritten, StorageError, TornRecord
from stoneyoke.storage.record_store import RETAINED_RECORDS, RecordStore

SEEDS = range(80)
STEPS = 25
TORN_RECORDS = 15  # for each kind of damage


@fixture
def folder():
    with tempfile.TemporaryDirectory() as name:
        yield name


@test("a new process reads the newest record of each family")
def _(folder=folder):
    store = RecordStore(folder)
    for number in range(6):
        store.save("register", {b"body": b"%d" % number})
    store.save("promise", {b"counter": b"x"})
    assert RecordStore(folder).load("register") == ({b"body": b"5"}, [])
    assert RecordStore(folder).load("promise") == ({b"counter": b"x"}, [])
    left = {file.number for file in RecordStore(folder).record_files() if file.family == "register"}
    assert len(left) == RETAINED_RECORDS


@dataclass
class History:
    """The records of one family, in the order of their saves.

    Attributes:
        attempted: Each record for which `save` was called.
        confirmed: Index of the newest record that a save or a load has confirmed; -1: none.
    """

    attempted: list[dict[bytes, bytes]] = field(default_factory=list)
    confirmed: int = -1

    def assert_not_older(self, loaded):
        """Checks that a loaded record isn't older than the confirmed one, and records it as confirmed."""
        index = self.attempted.index(loaded) if loaded is not None else -1
        assert index >= self.confirmed, f"record {index} is older than {self.confirmed}"
        self.confirmed = index


class RandomDiskHistory:
    """A store that goes through random saves, failures, crashes and power losses, and is checked at each start."""

    def __init__(self, folder, seed):
        self.folder, self.random_source = folder, random.Random(seed)
        self.histories = {"promise": History(), "register": History(), "identity": History()}
        self.store = SimulatedRecordStore(folder)

    def save(self, family):
        """Saves the next record of a family; returns whether the store accepted it."""
        history = self.histories[family]
        size = self.random_source.choice((0, 30, 600, 3000)) if family == "register" else 8
        number = len(history.attempted)
        history.attempted.append({b"body": b"%s %d " % (family.encode(), number) + b"x" * size, b"more": b"y"})
        try:
            self.store.save(family, history.attempted[-1])
        except StorageError:
            return False
        history.confirmed = number
        return True

    def restart(self, loses_power):
        """Starts the next process after the previous one crashed, with or without a power loss of the machine."""
        self.store.steps_left = -1
        if loses_power:
            self.store.lose_power(self.random_source)
        elif self.random_source.random() < 0.5:
            self.truncate_unsynced_files()
        self.store = SimulatedRecordStore(self.folder, self.store.state)
        self.assert_nothing_lost()

    def truncate_unsynced_files(self):
        """Truncates files at random: a killed process may have written only a part of what it had not synced yet."""
        for name in sorted(os.listdir(self.folder)):
            content = self.store.content(name)
            if content != self.store.state.contents.get(name) and self.random_source.random() < 0.5:
                os.truncate(os.path.join(self.folder, name), self.random_source.randrange(len(content) + 1))

    def assert_nothing_lost(self):
        for family, history in self.histories.items():
            history.assert_not_older(self.store.load(family).record)

    def step(self):
        """Executes one random event."""
        family = self.random_source.choice(list(self.histories))
        event = self.random_source.choice(
            ("save", "save", "save", "refuse", "full", "crash", "crash", "restart", "load")
        )
        match event:
            case "save":
                self.save(family)
            case "refuse":
                self.store.refuses = True
                assert not self.save(family)
                self.store.refuses = False
            case "full":
                self.store.capacity_bytes = self.random_source.randrange(12000)
                self.save(family)
                self.store.capacity_bytes = None
            case "crash":
                self.crash_in_save(family)
            case "restart":
                self.restart(self.random_source.random() < 0.7)
            case "load":
                self.assert_nothing_lost()

    def crash_in_save(self, family):
        """Crashes the process at a random step of the next two saves."""
        self.store.steps_left = self.random_source.randrange(12)
        with contextlib.suppress(PowerLost):
            for _ in range(2):
                self.save(family)
        self.restart(self.random_source.random() < 0.7)

    def assert_recovers(self):
        """Checks that on a healthy disk each family accepts saves, and that only its last records are retained."""
        for family in self.histories:
            for _ in range(RETAINED_RECORDS):
                assert self.save(family)
        self.restart(loses_power=False)
        assert len(self.store.record_files()) == len(self.histories) * RETAINED_RECORDS * 2, sorted(
            os.listdir(self.folder)
        )


@test(
    "no load returns a record older than one saved or loaded before, in spite of failures, crashes and power losses: "
    "seed {seed}"
)
def _(seed=each(*SEEDS)):
    with tempfile.TemporaryDirectory() as folder:
        history = RandomDiskHistory(folder, seed)
        for _ in range(STEPS):
            history.step()
        history.assert_recovers()


@test("a record that a killed process wrote without a sync is synced before a load returns it, or not returned")
def _(folder=folder):
    store = SimulatedRecordStore(folder)
    store.save("register", {b"body": b"1"})
    store.steps_left = 2  # both files are whole, the first is synced
    with raises(PowerLost):
        store.save("register", {b"body": b"2"})
    store = SimulatedRecordStore(folder, store.state)
    store.refuses = True
    with raises(RecordNotRead):
        store.load("register")
    store.refuses = False
    assert store.load("register").record == {b"body": b"2"}
    for seed in range(20):
        store.lose_power(random.Random(seed))
        assert SimulatedRecordStore(folder, store.state).load("register").record == {b"body": b"2"}


@test("a load fails, and returns no older record, while the newest one can't be opened")
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
        with raises(RecordNotRead):
            RecordStore(folder).load("register")
    finally:
        dbm.dumb._io.open = real
    assert RecordStore(folder).load("register").record == {b"body": b"2"}


@test("incomplete records and files with other names hide no record, and their numbers are not used again")
def _(folder=folder):
    for name in ("register-9.dat", "register-8.dir", "register-7.bak", "register-007.dir", "register-1.dat.old", "x"):
        with open(os.path.join(folder, name), "wb") as file:
            file.write(b"\0\xff'")
    os.mkdir(os.path.join(folder, "register-12.dat"))
    store = RecordStore(folder)
    assert store.load("register").record is None
    store.save("register", {b"body": b"1"})
    with open(os.path.join(folder, "register-20.dir"), "wb") as file:
        file.write(b"'body', (0, 1)\n")
    again = RecordStore(folder)
    assert again.load("register").record == {b"body": b"1"} and again.next_number == 21


@test("after 500 saves only the last few records are on disk")
def _(folder=folder):
    store, body = SimulatedRecordStore(folder), b"x" * 5000
    for at in range(500):
        store.save("register", {b"body": body + b"%d" % at})
        store.save("promise", {b"ballot": b"%d" % at})
    names = os.listdir(folder)
    assert len(names) == 2 * 2 * RETAINED_RECORDS  # two families, two files each
    assert sum(os.path.getsize(os.path.join(folder, name)) for name in names) < RETAINED_RECORDS * (5000 + 6 * 1024)


@test(
    "a full disk retains only the newest record, fails saves that don't fit, and accepts the next once there is space"
)
def _(folder=folder):
    store = SimulatedRecordStore(folder)
    for at in range(5):
        store.save("register", {b"body": b"%d" % at * 4000})
        store.save("promise", {b"ballot": b"%d" % at})
    store.capacity_bytes = 14000  # space for two records of the register and one promise
    for at in range(5, 20):
        store.save("register", {b"body": b"%d" % (at % 10) * 4000})
    with raises(StorageError):
        store.save("register", {b"body": b"z" * 16000})
    for _ in range(30):  # repeated failures must not leave files behind
        with raises(StorageError):
            store.save("promise", {b"ballot": b"z" * 16000})
    again = SimulatedRecordStore(folder, store.state)
    assert again.load("register").record == {b"body": b"9" * 4000} and again.load("promise").record == {b"ballot": b"4"}
    assert len(os.listdir(folder)) <= 6
    again.capacity_bytes = 40000
    again.save("register", {b"body": b"z" * 16000})


@test("a save that waited for a stalled disk does not replace the record of a save that was called after it")
def _(folder=folder):
    class StalledStore(SimulatedRecordStore):
        def sync_path(self, path):
            reached.set()
            assert resume.wait(10)
            super().sync_path(path)

    reached, resume = threading.Event(), threading.Event()
    store = StalledStore(folder)
    threads = [threading.Thread(target=store.save, args=("register", {b"body": body})) for body in (b"1", b"2")]
    threads[0].start()
    assert reached.wait(10)
    threads[1].start()
    resume.set()
    for thread in threads:
        thread.join(10)
    assert store.load("register").record == RecordStore(folder).load("register").record == {b"body": b"2"}


def removed(_data, _index):
    """Returns None: the file is lost."""


def truncated(data, index):
    return data[:index]


def zeroed(data, index):
    return data[:index] + bytes(len(data) - index)


def flipped(data, index):
    return data[:index] + bytes([data[index] ^ 0x55]) + data[index + 1 :]


@test("a record that is {damage.__name__} at any offset is skipped and named, and the previous one is read")
def _(folder=folder, damage=each(removed, truncated, zeroed, flipped)):
    random_source = random.Random(5)
    for round_number in range(TORN_RECORDS):
        store = RecordStore(folder)
        whole, newest = ({b"body": b"%s %d" % (text, round_number) * 50} for text in (b"whole", b"newest"))
        store.save("register", whole)
        store.save("register", newest)
        name = f"register-{store.next_number - 1}"
        path = os.path.join(folder, name + random_source.choice((".dat", ".dir")))
        with open(path, "rb") as file:
            data = file.read()
        damaged = damage(data, random_source.randrange(len(data)))
        os.remove(path)
        if damaged is not None:
            with open(path, "wb") as file:
                file.write(damaged)
        loaded = RecordStore(folder).load("register")
        assert loaded.record == newest and not loaded.torn or loaded.record == whole and name in loaded.torn[0]


@test("the error of a torn record names the record")
def _(folder=folder):
    store = RecordStore(folder)
    store.save("register", {b"body": b"1"})
    os.truncate(os.path.join(folder, "register-1.dat"), 3)
    with raises(TornRecord) as torn:
        store.read_record("register", 1)
    assert torn.raised.record == "register-1" and isinstance(torn.raised, StorageError)


@test("a new process continues above the highest number on disk")
def _(folder=folder):
    store = RecordStore(folder)
    store.save("register", {b"body": b"1"})
    assert RecordStore(folder).next_number == 2


@test("files and folder are synced before a save returns, and a save fails if a sync fails")
def _(folder=folder):
    synced, real = [], os.fsync
    store = RecordStore(folder)
    try:
        os.fsync = lambda number: synced.append(os.readlink(f"/proc/self/fd/{number}"))
        store.save("register", {b"body": b"1"})
        assert [os.path.basename(name) for name in synced[:2]] == ["register-1.dat", "register-1.dir"]
        assert synced[-1] == os.path.realpath(folder)

        def refuse(_):
            raise OSError(errno.EIO, "refused")

        os.fsync = refuse
        with raises(RecordNotWritten):
            store.save("register", {b"body": b"2"})
    finally:
        os.fsync = real
    assert RecordStore(folder).load("register").record == {b"body": b"1"}
