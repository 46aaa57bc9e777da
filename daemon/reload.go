package daemon

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/waxwinghaven/waxwinghaven/settings"
)

// reloadPoll is the interval at which the settings file is checked: it may change without
// a signal, and a change must be in force within two seconds.
const reloadPoll = time.Second

// HangUps returns a channel that receives SIGHUP. Call it before anything else: a
// process that does not catch the signal is terminated by it.
func HangUps() <-chan os.Signal {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	return hup
}

// Reload applies changes of a settings file, on SIGHUP and when its content changes, until
// the context ends. A file that can't be read or is invalid changes nothing. Requests in
// progress are not affected.
func Reload(ctx context.Context, path string, set *settings.Settings, hup <-chan os.Signal) error {
	tick := time.NewTicker(reloadPoll)
	defer tick.Stop()
	// Compare with the text that was loaded, not with the file's present content: it may
	// have changed since.
	last := set.Text()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-hup:
			logrus.Info("daemon: Reloading the settings on a signal.")
		case <-tick.C:
		}
		now, err := os.ReadFile(path)
		if err != nil {
			logrus.Warnf("daemon: The settings can't be read again: %v.", err)
			continue
		}
		if string(now) != last {
			last = string(now)
			apply(path, last, set)
		}
	}
}

func apply(path, text string, set *settings.Settings) {
	newer, err := settings.Parse(path, text)
	if err != nil {
		logrus.Errorf("daemon: The changed settings are refused, the old ones stay in force: %v.", err)
		return
	}
	set.Apply(newer)
	if level, err := logrus.ParseLevel(newer.Log.Level); err == nil {
		logrus.SetLevel(level)
	}
	logrus.WithField("contacts", newer.ControlAddresses()).Info("daemon: Applied the changed settings.")
}
