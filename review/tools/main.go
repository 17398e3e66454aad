package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// cases are the plays by name. Each ends the process by itself.
var cases = map[string]func(rec *recorder, trouble bool){
	"logsize":     playLogSize,
	"longanswer":  playLongEarlyAnswer,
	"shortanswer": playShortEarlyAnswer,
	"uploadstop":  playUploadStop,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER")
		os.Exit(2)
	}
	rec := newRecorder(filepath.Join(os.Args[2], "record.txt"))
	cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
}
