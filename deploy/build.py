"""Installs what the node needs into `target/deps`, and byte-compiles it and the sources.

Packages are installed into a new folder, tried out there, and put into place in one step, so that
a process that is starting finds all of the packages or, where there were none, none of them. Only
the standard library is used. A folder that fits and is whole is left untouched.
"""

from __future__ import annotations

import compileall
import contextlib
import fcntl
import hashlib
import json
import os
import pathlib
import platform
import shutil
import subprocess
import sys
import sysconfig
import time
from collections.abc import Callable, Iterator

ROOT = pathlib.Path(__file__).resolve().parent.parent
"""Root of the repository."""

REQUIREMENTS = "requirements/node.txt"
"""What is installed: packages with versions and hashes."""

TARGET = "target"
"""Folder for all that a build makes."""

LINK = "deps"
"""Symbolic link, in the target folder, to the folder of packages in use."""

FOLDERS = "deps-*"
"""Pattern of the names of folders of packages."""

STAMP = ".build.json"
"""File, written last into a folder of packages, that says what the folder was made for."""

CHECKED_MODULES = (
    "lineworks.programs.node",
    "lineworks.programs._node_logs",
    "lineworks.kernel.steady_reactor",
    "lineworks.forwarding.node",
    "prometheus_client",
    "yaml",
)
"""Modules that import, together, all that the node imports, also later than at its start."""

LOCK_SECONDS = 600
"""Maximum time in seconds to wait for another build."""

LOCK_POLL_SECONDS = 0.1
"""Interval in seconds at which the lock is tried."""

CHECK_SECONDS = 120
"""Maximum time in seconds for the imports of the check."""

Install = Callable[[pathlib.Path, pathlib.Path], None]
"""Installs a file of requirements into a folder."""

Check = Callable[[pathlib.Path, pathlib.Path], None]
"""Raises `BuildError` if a folder of packages doesn't serve the sources in another folder."""


class BuildError(Exception):
    """The build failed; the message is one line."""


def main(root: pathlib.Path = ROOT) -> int:
    """Build, and report a failure in one line.

    Args:
        root: Root of the repository.

    Returns:
        The exit code: 0, or 1 when the build failed.
    """
    try:
        build(root, install_packages, check_imports)
    except (BuildError, OSError) as error:
        sys.stderr.write(f"build: {error}\n")
        return 1
    return 0


def build(root: pathlib.Path, install: Install, check: Check) -> None:
    """Bring the folder of packages and the byte code of the sources up to date.

    Args:
        root: Root of the repository.
        install: Installs the requirements into a new folder.
        check: Checks that folder before it is put into place.

    Raises:
        BuildError: The packages can't be installed, or can't be imported.
        OSError: A file or folder can't be read or written.
    """
    requirements = root / REQUIREMENTS
    key = environment_key(requirements.read_bytes())
    link = root / TARGET / LINK
    if not (link.is_symlink() and is_whole(link, key)):
        link.parent.mkdir(exist_ok=True)
        with _exclusive(link.parent / "build.lock"):
            # Another build may have finished while this one waited.
            if not (link.is_symlink() and is_whole(link, key)):
                folder = _find(link.parent, key) or _make(root, key, install, check)
                _put_in_place(folder, link)
    compileall.compile_dir(root / "src", quiet=1)


def environment_key(requirements: bytes) -> str:
    """Return a text that differs where packages that are installed elsewhere may not work.

    Args:
        requirements: Content of the file of requirements.

    Returns:
        A hash over the requirements, the machine and the Python that runs this.
    """
    parts = (
        hashlib.sha256(requirements).hexdigest(),
        platform.machine(),
        sysconfig.get_platform(),
        sys.implementation.name,
        sys.version,
        str(sysconfig.get_config_var("SOABI")),
    )
    return hashlib.sha256("\n".join(parts).encode()).hexdigest()


def is_whole(folder: pathlib.Path, key: str) -> bool:
    """Return whether a folder of packages was finished for a key, and has lost no file since.

    Args:
        folder: The folder of packages.
        key: Result of `environment_key`.
    """
    try:
        stamp = json.loads((folder / STAMP).read_text())
    except (OSError, ValueError, RecursionError):
        return False
    return bool(stamp == _stamp(folder, key))


def install_packages(requirements: pathlib.Path, folder: pathlib.Path) -> None:
    """Install packages with pip.

    Args:
        requirements: File of requirements with hashes.
        folder: Folder to install into.

    Raises:
        BuildError: The packages can't be installed.
    """
    options = ["-q", "-U", "--disable-pip-version-check", "--require-hashes"]
    command = [sys.executable, "-m", "pip", "install", *options]
    command += ["--target", str(folder), "-r", str(requirements)]
    status = subprocess.run(command, check=False).returncode
    if status != 0:
        raise BuildError(f"{REQUIREMENTS} can't be installed: pip ended with {status}")


def check_imports(folder: pathlib.Path, sources: pathlib.Path) -> None:
    """Import what the node imports, in an interpreter that is started as the node is.

    Args:
        folder: The folder of packages.
        sources: The folder of the sources.

    Raises:
        BuildError: A module can't be imported.
    """
    command = [sys.executable, "-S", "-c", f"import {', '.join(CHECKED_MODULES)}"]
    environment = {**os.environ, "PYTHONPATH": f"{folder}{os.pathsep}{sources}"}
    try:
        ended = subprocess.run(
            command,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.PIPE,
            timeout=CHECK_SECONDS,
            check=False,
        )
    except subprocess.TimeoutExpired as error:
        raise BuildError(f"the imports take longer than {CHECK_SECONDS} s") from error
    if ended.returncode != 0:
        lines = ended.stderr.decode(errors="replace").strip().splitlines()
        reason = lines[-1] if lines else f"the interpreter ended with {ended.returncode}"
        raise BuildError(f"what was installed can't be imported: {reason}")


def _make(root: pathlib.Path, key: str, install: Install, check: Check) -> pathlib.Path:
    """Make a new folder of packages; what an interrupted build left has no stamp."""
    folder = root / TARGET / f"{LINK}-{key[:12]}-{time.time_ns()}"
    folder.mkdir()
    try:
        install(root / REQUIREMENTS, folder)
        compileall.compile_dir(folder, quiet=2)
        check(folder, root / "src")
    except (BuildError, OSError):
        shutil.rmtree(folder, ignore_errors=True)
        raise
    unfinished = folder / f"{STAMP}.new"
    unfinished.write_text(json.dumps(_stamp(folder, key)))
    unfinished.replace(folder / STAMP)
    return folder


def _find(target: pathlib.Path, key: str) -> pathlib.Path | None:
    """Find a finished folder that isn't in place, after an interruption or a change back."""
    for folder in target.glob(FOLDERS):
        if is_whole(folder, key):
            return folder
    return None


def _put_in_place(folder: pathlib.Path, link: pathlib.Path) -> None:
    """Replace the link, and keep the folder of before for processes that are importing from it."""
    before = link.resolve() if link.is_symlink() else None
    if before is None and link.exists():
        # A folder can't be replaced by a link in one step; this happens once.
        before = link.rename(link.with_name(f"{LINK}-before-{time.time_ns()}")).resolve()
    new_link = link.with_name("deps.new")
    new_link.unlink(missing_ok=True)
    new_link.symlink_to(folder.name)
    new_link.replace(link)
    for other in link.parent.glob(FOLDERS):
        if other.resolve() not in (folder.resolve(), before):
            shutil.rmtree(other, ignore_errors=True)


def _stamp(folder: pathlib.Path, key: str) -> dict[str, str | int]:
    """Describe a folder; byte code doesn't count, since starting processes may add some."""
    sizes = []
    for directory, folders, files in os.walk(folder):
        folders[:] = [name for name in folders if name != "__pycache__"]
        paths = (os.path.join(directory, name) for name in files if not name.startswith(STAMP))
        sizes += [os.lstat(path).st_size for path in paths]
    return {"key": key, "files": len(sizes), "bytes": sum(sizes)}


@contextlib.contextmanager
def _exclusive(path: pathlib.Path) -> Iterator[None]:
    """Hold a lock that the system releases when the process ends."""
    give_up_at = time.monotonic() + LOCK_SECONDS
    with path.open("w") as file:
        while not _try_lock(file.fileno()):
            if time.monotonic() >= give_up_at:
                raise BuildError(f"another build holds {path} for more than {LOCK_SECONDS} s")
            time.sleep(LOCK_POLL_SECONDS)
        yield


def _try_lock(descriptor: int) -> bool:
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        return False
    return True


if __name__ == "__main__":
    sys.exit(main())
