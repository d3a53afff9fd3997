package org.fulmargap.entry.peer;

/**
 * What the receiver of a heartbeat is to its sender. The position of a constant is its
 * number in messages between entry VMs, so the order must not change.
 */
public enum PeerRelation {

	/**
	 * The sender relies on the receiver: the heartbeat reports for the sender and for
	 * those that rely on the sender.
	 */
	OWN_HUB,

	/** Both are hubs: the heartbeat reports for the same VMs. */
	OTHER_HUB,

	/**
	 * The receiver sends heartbeats to the sender as to a hub, but the sender doesn't
	 * count it as one: the heartbeat reports as to a hub and asks for no answer.
	 */
	HUB_ANSWER,

	/**
	 * The receiver relies on the sender: the heartbeat reports for all other VMs.
	 */
	MEMBER,

	/** The sender no longer exchanges heartbeats with the receiver. */
	NONE

}
