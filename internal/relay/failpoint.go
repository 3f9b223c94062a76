package relay

// Failpoints lie between two steps of a start, a shutdown or a hand-over. Tests inject a
// signal, a kill or a change of the configuration there.
const (
	failpointClientsReleased  = "shutdown: clients are released"
	failpointListenersClosing = "shutdown: listeners close"
	failpointProcessEnd       = "shutdown: the process ends"
	failpointAddressInUse     = "start: the address is in use"

	// In the process that hands over.
	failpointOutgoingRequested        = "outgoing: requested"
	failpointOutgoingRequestsAnswered = "outgoing: requests are answered"
	failpointOutgoingQuiesced         = "outgoing: quiesced"
	failpointOutgoingStateSent        = "outgoing: the state is sent"
	failpointOutgoingListenersSent    = "outgoing: the listeners are sent"
	failpointOutgoingClientsSent      = "outgoing: the clients are sent"
	failpointOutgoingCallsSent        = "outgoing: the calls are sent"
	failpointOutgoingLockSent         = "outgoing: the lock is sent"
	failpointOutgoingAllSent          = "outgoing: all is sent"
	failpointOutgoingClaimed          = "outgoing: claimed"
	failpointOutgoingReleased         = "outgoing: released"
	// In the process that takes over.
	failpointIncomingConnected      = "incoming: connected"
	failpointIncomingListReceived   = "incoming: the list is received"
	failpointIncomingAllReceived    = "incoming: all is received"
	failpointIncomingLockAdopted    = "incoming: the lock is adopted"
	failpointIncomingClaimSent      = "incoming: the claim is sent"
	failpointIncomingRecovered      = "incoming: recovered"
	failpointIncomingClientsAdopted = "incoming: clients are adopted"
	failpointIncomingServing        = "incoming: serving"
)

// failpoint is called at each failpoint with its name. Only tests set it, before a relay
// runs.
var failpoint func(point string)

func hitFailpoint(point string) {
	if failpoint != nil {
		failpoint(point)
	}
}
