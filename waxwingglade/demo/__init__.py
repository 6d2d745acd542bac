"""Demo: the programs of two firms on an embedded system."""

from waxwingglade.demo.embedded import MODEL, Embedded, EmbeddedSettings, embedded

__all__ = ["MODEL", "Embedded", "EmbeddedSettings", "embedded"]
