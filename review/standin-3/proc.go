package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// inodeOf returns the inode of the TCP socket that has a local port and a connection, as the kernel lists it.
func inodeOf(port int) string {
	b, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return ""
	}
	const established = "01"
	for _, line := range strings.Split(string(b), "\n") {
		w := strings.Fields(line)
		if len(w) < 10 || w[3] != established {
			continue
		}
		_, hex, ok := strings.Cut(w[1], ":")
		if n, err := strconv.ParseInt(hex, 16, 32); ok && err == nil && int(n) == port && w[9] != "0" {
			return w[9]
		}
	}
	return ""
}

func portOf(addr string) int {
	_, p, _ := strings.Cut(addr, ":")
	var n int
	_, _ = fmt.Sscan(p, &n) // 0 belongs to nobody
	return n
}
