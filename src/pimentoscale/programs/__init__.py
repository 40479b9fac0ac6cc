"""The programs; each one only connects components of the other packages."""
