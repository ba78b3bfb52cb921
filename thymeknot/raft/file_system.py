"""What the storage needs of an operating system."""

import os


class FileSystem:
    """System calls on files and folders; tests put faults in its place."""

    def open(self, path: str, flags: int, mode: int = 0o777) -> int:
        """Opens a file or folder; gives its descriptor."""
        return os.open(path, flags, mode)

    def close(self, file: int) -> None:
        """Closes a descriptor."""
        os.close(file)

    def fsync(self, file: int) -> None:
        """Returns once what was written would outlast a loss of power."""
        os.fsync(file)

    def write(self, file: int, content: bytes | memoryview) -> int:
        """Writes some of the content; gives how many bytes."""
        return os.write(file, content)

    def pwrite(self, file: int, content: bytes, offset: int) -> int:
        """Writes some of the content at an offset; gives how many bytes."""
        return os.pwrite(file, content, offset)

    def replace(self, source: str, target: str) -> None:
        """Renames a file or folder in one step."""
        os.replace(source, target)

    def unlink(self, path: str) -> None:
        """Removes a file."""
        os.unlink(path)

    def listdir(self, folder: str) -> list[str]:
        """The names in a folder."""
        return os.listdir(folder)

    def makedirs(self, folder: str, exist_ok: bool = False) -> None:
        """Creates a folder and those above it."""
        os.makedirs(folder, exist_ok=exist_ok)

    def read(self, path: str) -> bytes | None:
        """The bytes of a file, or None if there is no such file."""
        try:
            with open(path, "rb") as file:
                return file.read()
        except FileNotFoundError:
            return None

    def write_all(self, file: int, content: bytes) -> None:
        """Writes all of the content."""
        view = memoryview(content)
        while view:
            view = view[self.write(file, view) :]

    def sync_folder(self, folder: str) -> None:
        """Syncs a folder: a file's name is on the disk only once its folder is."""
        file = self.open(folder, os.O_RDONLY)
        try:
            self.fsync(file)
        finally:
            self.close(file)
