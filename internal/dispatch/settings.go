package dispatch

import (
	"maps"

	"filbertcross/internal/event"
	"filbertcross/internal/fleet"
)

// StoredSettings is the entry of the store with settings that bind unfinished submissions and that a new owner may find
// in no configuration: submissions outlive the queues that accepted them and the accounts that handed them in.
type StoredSettings struct {
	// Queues are those whose settings have changed since a submission was accepted, by name. Other submissions are
	// stored with the settings that bind them.
	Queues   map[string]fleet.QueueSettings `cbor:"1,keyasint"`
	Accounts map[string]fleet.Account       `cbor:"2,keyasint"` // by name
}

// retainedSettings are the settings of every queue and account in the newest configuration that has had it.
// Invariant: an entry that is not in the active configuration stays as long as it has unfinished submissions.
type retainedSettings struct {
	queues   map[string]fleet.QueueSettings // by name
	accounts map[string]fleet.Account       // by name
	stored   map[string]fleet.QueueSettings // StoredSettings.Queues as last written or loaded
	dirty    bool                           // the store has others
	writing  bool                           // in a batch in flight
}

func newRetainedSettings() retainedSettings {
	return retainedSettings{queues: map[string]fleet.QueueSettings{}, accounts: map[string]fleet.Account{}}
}

// SetStoredSettings sets the settings that an earlier owner stored. It must be called before
// SetConfiguration, so that the settings of the active configuration replace them.
func (d *Dispatcher) SetStoredSettings(stored StoredSettings) {
	d.settings.stored = stored.Queues
	maps.Copy(d.settings.queues, stored.Queues)
	maps.Copy(d.settings.accounts, stored.Accounts)
}

// retainSettings records the settings of a newer configuration.
func (d *Dispatcher) retainSettings(c *fleet.Configuration) {
	for i := range c.Queues {
		q := &c.Queues[i]
		if d.settings.queues[q.Name].Version > c.Version {
			continue // stored by an owner whose configuration was newer
		}
		d.settings.queues[q.Name] = q.Settings(c.Version)
	}
	for a := range c.Accounts.All() {
		if known, ok := d.settings.accounts[a.Name]; !ok || known != a {
			d.settings.accounts[a.Name], d.settings.dirty = a, true
		}
	}
}

// noteQueueSettings makes the settings that bind a submission be stored, unless they are stored already.
func (d *Dispatcher) noteQueueSettings(j *job) {
	if !j.needsStoredSettings() {
		return
	}
	if stored, ok := d.settings.stored[j.sub.Queue]; !ok || !stored.Equal(j.queue) {
		d.settings.dirty = true
	}
}

// needsStoredSettings reports whether the settings that bind the submission are known, and differ from those that it is
// stored with.
func (j *job) needsStoredSettings() bool { return j.queue.Known() && !j.sub.Settings.Equal(j.queue) }

// storedSettings returns what is to be stored, and drops what neither the configuration nor an unfinished submission names.
func (d *Dispatcher) storedSettings() *StoredSettings {
	queues, accounts := map[string]bool{}, map[string]bool{}
	if d.config != nil {
		for _, q := range d.config.Queues {
			queues[q.Name] = true
		}
		for a := range d.config.Accounts.All() {
			accounts[a.Name] = true
		}
	}
	d.settings.stored = map[string]fleet.QueueSettings{}
	for _, j := range d.activeJobs {
		queues[j.sub.Queue], accounts[j.sub.Account] = true, true
		if j.needsStoredSettings() {
			d.settings.stored[j.sub.Queue] = j.queue
		}
	}
	maps.DeleteFunc(d.settings.queues, func(name string, _ fleet.QueueSettings) bool { return !queues[name] })
	maps.DeleteFunc(d.settings.accounts, func(name string, _ fleet.Account) bool { return !accounts[name] })
	return &StoredSettings{Queues: maps.Clone(d.settings.stored), Accounts: maps.Clone(d.settings.accounts)}
}

// queueSettings returns the settings that bind a submission: those of the newest configuration that
// has its queue, be it the active one, an earlier one, or a later one of the VM that accepted it.
func (d *Dispatcher) queueSettings(sub *fleet.Submission) fleet.QueueSettings {
	settings, known := d.settings.queues[sub.Queue]
	if sub.Settings.Known() && (!known || sub.Settings.Version > settings.Version) {
		return sub.Settings
	}
	if known {
		return settings
	}
	// Accepted by an earlier release, which stored no settings.
	if !sub.IsCompacted() {
		d.events.Record(event.QueueSettingsUnknown, sub.ID, sub.Queue)
	}
	return defaultSettings(sub)
}

// defaultSettings are those of a submission whose queue is not known. Their version is 0.
func defaultSettings(sub *fleet.Submission) fleet.QueueSettings {
	return fleet.QueueSettings{Service: sub.Service, MaxAttempts: defaultMaxAttempts, SlowdownFactor: 1}
}
