// Command protogen generates Go code next to the .proto files given as arguments, without an installation of protoc.
package main
