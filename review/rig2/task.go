package main

import (
	"fmt"
	"strconv"
	"strings"
)

// taskName is the name of a task, ID.K.STEP.INDEX.
type taskName struct {
	job              string
	occurrence, step int
	index            int
}

func (t taskName) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.job, t.occurrence, t.step, t.index)
}

// group returns the task's step, without its index.
func (t taskName) group() taskName {
	t.index = 0
	return t
}

func parseTask(name string) (t taskName, err error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return t, fmt.Errorf("task name %q does not have four parts", name)
	}
	t.job = parts[0]
	for i, field := range []*int{&t.occurrence, &t.step, &t.index} {
		if *field, err = strconv.Atoi(parts[i+1]); err != nil {
			return t, err
		}
	}
	return t, nil
}

// runName is one run of a task.
type runName struct {
	task taskName
	run  uint32
}
