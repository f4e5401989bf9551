// Package compat holds no code. Its tests compare what this project sends, stores and reads with files that earlier versions
// wrote: protobuf messages, JSON documents, settings files and data directories. Names in the code may change; these may not.
//
// With GRADEUSHER_WRITE_GOLDEN=1 the tests write the files anew. That is for additions to a format, never to get past a failure.
package compat
