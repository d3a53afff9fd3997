package org.fulmargap.membership;

/**
 * What an entry VM knows about itself or a peer.
 *
 * @param incarnation the latest incarnation
 * @param failureDomain the failure domain, empty if not known yet
 * @param peerAddress the address for links, empty if not known yet
 * @param joined whether the configuration stream lists the VM as a member
 * @param alive whether the VM was heard recently
 * @param leaving whether the VM is shutting down
 * @param lastContactMs when the VM was last heard, milliseconds since the epoch; zero if
 * never
 * @param configVersion the configuration version that the VM reported last
 * @param inFlight the number of requests that the VM reported last
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
