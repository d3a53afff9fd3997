package org.fulmargap.membership;

/**
 * Status of this entry VM or of a peer, as known to this entry VM.
 *
 * @param incarnation the latest incarnation
 * @param failureDomain the failure domain, empty if not known yet
 * @param peerAddress the address for links, empty if not known yet
 * @param joined whether the configuration stream lists the VM as a member
 * @param alive whether the VM is this one or has sent a message recently
 * @param leaving whether the VM is shutting down
 * @param lastContactMs when the last message from the VM was received, milliseconds since
 * the epoch; zero if never
 * @param configVersion the configuration version that the VM last reported
 * @param inFlight the number of running requests that the VM last reported
 */
public record MemberStatus(Incarnation incarnation, String failureDomain, String peerAddress, boolean joined,
		boolean alive, boolean leaving, long lastContactMs, long configVersion, int inFlight) {

	/**
	 * Returns the name of the entry VM.
	 * @return the name
	 */
	public String vm() {
		return this.incarnation.vm();
	}

}
