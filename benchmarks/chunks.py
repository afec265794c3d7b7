"""Measure the processor time of reading an answer in chunks.

Run with `python -m benchmarks.chunks`; the table goes to standard output.
"""

import time
from io import BufferedReader, BytesIO
from typing import Any

from snipespring.frontends.backends.bodies import BodyBuffer, ChunkedBody, read_body
from snipespring.frontends.backends.heads import MalformedAnswerError
from snipespring.frontends.http_bodies import UnlimitedBodies

__all__ = ["main"]

CHUNK_SIZES_BYTES = (1, 16, 64, 1024, 65536)
MEGABYTE_BYTES = 1_000_000
MAX_BODY_BYTES = 16 * 1024 * 1024
MS_PER_S = 1000.0


def main() -> None:
    """Print the time for a megabyte of content in chunks of each size."""
    print("chunk, bytes | ms | content read, bytes | end")
    for size_bytes in CHUNK_SIZES_BYTES:
        chunk = b"%x\r\n%s\r\n" % (size_bytes, bytes(size_bytes))
        content = chunk * (MEGABYTE_BYTES // size_bytes) + b"0\r\n\r\n"
        reader: Any = BufferedReader(BytesIO(content))
        body = BodyBuffer(budget=UnlimitedBodies())
        started_s, end = time.process_time(), "whole"
        try:
            read_body(reader, ChunkedBody(), body, max_bytes=MAX_BODY_BYTES)
        except MalformedAnswerError as exc:
            end = f"broken: {exc}"
        took_ms = (time.process_time() - started_s) * MS_PER_S
        print(f"{size_bytes} | {took_ms:.1f} | {len(body.content)} | {end}")


if __name__ == "__main__":
    main()
