package agentapi

const (
	EjectionsKey = "g" // key of the published outlier.Assignment in the gossip store
)

// ConfigurationKey is the key of the configuration in the gossip store.
const ConfigurationKey = "c"
