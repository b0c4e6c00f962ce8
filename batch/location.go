package batch

import (
	"strconv"

	"github.com/ibistrail/ibistrail/store"
)

// The data of an index partition is in parts: its main part, the partition of the data topic with the same number, and the partitions
// of an overflow topic of its own. The number of the part is in the upper bits of a location, the offset in the lower ones, so that
// locations in the main part are plain offsets. A build that knows the main part only finds nothing at a location in another part.
const (
	mainPart = 0
	// progressPart holds unfinished texts while data overflows, so that they can be trimmed before the results.
	progressPart = 1
	// firstTextPart is the first of the overflow parts that hold texts and large submissions.
	firstTextPart = 2
	partShift     = 48
)

// location returns the location of an offset in a part.
func location(part int, offset int64) int64 { return int64(part)<<partShift | offset }

// partOf returns the part of a location.
func partOf(location int64) int { return int(location >> partShift) }

// offsetOf returns the offset of a location in its part.
func offsetOf(location int64) int64 { return location & (1<<partShift - 1) }

// dataPart returns a part of the data of an index partition.
func dataPart(index, part int) store.Partition {
	if part == mainPart {
		return store.Partition{Topic: dataTopic, Index: index}
	}
	return store.Partition{Topic: dataTopic + "-" + strconv.Itoa(index), Index: part - 1}
}
