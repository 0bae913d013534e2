"""HTTP/1.1 connections: Twisted's sockets with the parser of the library httptools."""
