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

// reloadPoll is how often the settings file is looked at: it may change without
// a signal, and a change must be in force within two seconds.
const reloadPoll = time.Second

// HangUps returns a channel of SIGHUPs. It is asked for before anything else: a
// process that does not catch the signal is ended by it.
func HangUps() <-chan os.Signal {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	return hup
}

// Reload takes over what changes in a settings file, on SIGHUP and when its
// content changes, until the context ends. A file that can't be read or is
// refused changes nothing. Requests in progress notice nothing.
func Reload(ctx context.Context, path string, set *settings.Settings, hup <-chan os.Signal) error {
	tick := time.NewTicker(reloadPoll)
	defer tick.Stop()
	// The text that was loaded, not the file as it is by now: it may have
	// changed in between.
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
			takeOver(path, last, set)
		}
	}
}

func takeOver(path, text string, set *settings.Settings) {
	newer, err := settings.Parse(path, text)
	if err != nil {
		logrus.Errorf("daemon: The changed settings are refused, the old ones stay in force: %v.", err)
		return
	}
	set.TakeOver(newer)
	if level, err := logrus.ParseLevel(newer.Log.Level); err == nil {
		logrus.SetLevel(level)
	}
	logrus.WithField("contacts", newer.Contacts()).Info("daemon: Took the changed settings over.")
}
