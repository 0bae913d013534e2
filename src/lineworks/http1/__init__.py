"""HTTP/1.1 connections on Twisted transports, parsed by httptools."""
