"""The file system operations that the storage uses."""

import os


class FileSystem:
    """System calls on files and directories. Tests replace it to inject faults."""

    def open(self, path: str, flags: int, mode: int = 0o777) -> int:
        """Opens a file or directory and returns its descriptor."""
        return os.open(path, flags, mode)

    def close(self, file: int) -> None:
        """Closes a file descriptor."""
        os.close(file)

    def fsync(self, file: int) -> None:
        """Flushes a file to the disk, so that its content survives a power failure."""
        os.fsync(file)

    def write(self, file: int, content: bytes | memoryview) -> int:
        """Writes content, possibly in part, and returns the number of bytes written."""
        return os.write(file, content)

    def pwrite(self, file: int, content: bytes, offset: int) -> int:
        """Writes content at an offset, possibly in part; returns the number of bytes written."""
        return os.pwrite(file, content, offset)

    def replace(self, source: str, target: str) -> None:
        """Atomically renames a file or directory and replaces the target if it exists."""
        os.replace(source, target)

    def unlink(self, path: str) -> None:
        """Removes a file."""
        os.unlink(path)

    def listdir(self, folder: str) -> list[str]:
        """Returns the names of the entries of a directory."""
        return os.listdir(folder)

    def makedirs(self, folder: str, exist_ok: bool = False) -> None:
        """Creates a directory and its missing parents."""
        os.makedirs(folder, exist_ok=exist_ok)

    def read(self, path: str) -> bytes | None:
        """Returns the content of a file, or None if the file does not exist."""
        try:
            with open(path, "rb") as file:
                return file.read()
        except FileNotFoundError:
            return None

    def write_all(self, file: int, content: bytes) -> None:
        """Writes the whole content, retrying after partial writes."""
        view = memoryview(content)
        while view:
            view = view[self.write(file, view) :]

    def sync_folder(self, folder: str) -> None:
        """Flushes a directory: a new or renamed file is durable only once its directory is."""
        file = self.open(folder, os.O_RDONLY)
        try:
            self.fsync(file)
        finally:
            self.close(file)
