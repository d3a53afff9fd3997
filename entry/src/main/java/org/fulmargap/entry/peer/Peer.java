package org.fulmargap.entry.peer;

import java.util.List;

import org.fulmargap.fleet.FleetView;

/**
 * Another entry VM: the connections to and from it, and what its messages said last.
 * Confined to the event loop.
 */
final class Peer {

	private static final long NEVER = Long.MIN_VALUE / 2;

	private final String name;

	private final PeerLink link;

	private PeerServer.Receiver receiver;

	private long startedAtMs;

	private long connectedAtMs = NEVER;

	private long lastContactAtMs = NEVER;

	private long expectedSinceMs = NEVER;

	private boolean expected;

	private boolean alive;

	private boolean draining;

	private PeerRelation relation = PeerRelation.NONE;

	private boolean exchanging;

	private boolean storeReached;

	private List<FleetView.VmState> liveVms = List.of();

	private List<FleetView.VmState> sentVms = List.of();

	Peer(String name, PeerLink link) {
		this.name = name;
		this.link = link;
	}

	String name() {
		return this.name;
	}

	PeerLink link() {
		return this.link;
	}

	/**
	 * Returns whether a greeting comes from a process of the VM before the one that is
	 * connected. A step of the clock may put the two in the wrong order, so no greeting
	 * is outdated once the connected process is silent.
	 * @param newStartedAtMs when the greeting process started, in milliseconds since the
	 * epoch
	 * @param silenceMs how long a process that is connected may be silent, in
	 * milliseconds
	 * @param nowMs the current time in milliseconds
	 * @return {@code true} if it started before the connected one
	 */
	boolean isOutdated(long newStartedAtMs, long silenceMs, long nowMs) {
		boolean connected = this.receiver != null && nowMs - this.lastContactAtMs < silenceMs;
		return connected && newStartedAtMs < this.startedAtMs;
	}

	/**
	 * Records the receiving end of a new connection from the VM, which starts with a
	 * greeting.
	 * @param newReceiver the receiving end
	 * @param newStartedAtMs when the VM started, in milliseconds since the epoch
	 * @return whether the VM restarted since the last greeting
	 */
	boolean greeted(PeerServer.Receiver newReceiver, long newStartedAtMs) {
		boolean restarted = this.startedAtMs != 0 && this.startedAtMs != newStartedAtMs;
		this.receiver = newReceiver;
		this.startedAtMs = newStartedAtMs;
		this.liveVms = List.of();
		this.relation = PeerRelation.NONE;
		this.draining = this.draining && !restarted;
		return restarted;
	}

	boolean isReceiver(PeerServer.Receiver candidate) {
		return this.receiver == candidate;
	}

	void receiverClosed() {
		this.receiver = null;
		this.relation = PeerRelation.NONE;
	}

	void linkConnected(long nowMs) {
		this.connectedAtMs = nowMs;
		this.sentVms = List.of();
	}

	/**
	 * Records a message of the VM.
	 * @param nowMs the current time in milliseconds
	 * @return whether the VM counted as lost before
	 */
	boolean heard(long nowMs) {
		this.lastContactAtMs = nowMs;
		boolean wasLost = !this.alive;
		this.alive = true;
		return wasLost;
	}

	/**
	 * Records the content of a heartbeat.
	 * @param heartbeat the heartbeat
	 * @return whether the VM has started to drain
	 */
	boolean reported(PeerMessage.Heartbeat heartbeat) {
		boolean drains = heartbeat.draining() && !this.draining;
		this.draining = heartbeat.draining();
		this.relation = heartbeat.relation();
		this.storeReached = heartbeat.storeReached();
		return drains;
	}

	void lost() {
		this.alive = false;
		this.relation = PeerRelation.NONE;
		this.storeReached = false;
	}

	boolean isAlive() {
		return this.alive;
	}

	boolean isDraining() {
		return this.draining;
	}

	boolean isStoreReached() {
		return this.storeReached;
	}

	/**
	 * Returns what this VM is to the other one, by its newest heartbeat.
	 * @return the relation; {@code NONE} if it sends no heartbeats
	 */
	PeerRelation relation() {
		return this.relation;
	}

	/**
	 * Returns whether the VM sends heartbeats to this one.
	 * @return {@code true} if its last one did not end the exchange
	 */
	boolean sendsHeartbeats() {
		return this.relation != PeerRelation.NONE;
	}

	/**
	 * Records whether this VM sends heartbeats to the other one.
	 * @param isExchanging whether it does from now on
	 * @return whether it did so far
	 */
	boolean replaceExchanging(boolean isExchanging) {
		boolean previous = this.exchanging;
		this.exchanging = isExchanging;
		return previous;
	}

	/**
	 * Returns whether the VM relies on this one.
	 * @return {@code true} if this VM is its hub
	 */
	boolean isMember() {
		return this.relation == PeerRelation.OWN_HUB;
	}

	/**
	 * Returns whether the VM reports to this one as to a hub on which it doesn't rely.
	 * @return {@code true} if it does
	 */
	boolean isOtherHub() {
		return this.relation == PeerRelation.OTHER_HUB || this.relation == PeerRelation.HUB_ANSWER;
	}

	/**
	 * Records whether messages of the VM are expected.
	 * @param isExpected whether it should send messages
	 * @param nowMs the current time in milliseconds
	 */
	void expect(boolean isExpected, long nowMs) {
		if (isExpected && !this.expected) {
			this.expectedSinceMs = nowMs;
		}
		this.expected = isExpected;
	}

	boolean isExpected() {
		return this.expected;
	}

	/**
	 * Returns how long an expected message has not arrived.
	 * @param nowMs the current time in milliseconds
	 * @return the time since the last message, or since messages are expected if that is
	 * later, in milliseconds
	 */
	long silentMs(long nowMs) {
		return nowMs - Math.max(this.lastContactAtMs, this.expectedSinceMs);
	}

	/**
	 * Returns how long the connection to the VM has been open.
	 * @param nowMs the current time in milliseconds
	 * @return the time in milliseconds
	 */
	long connectedMs(long nowMs) {
		return nowMs - this.connectedAtMs;
	}

	List<FleetView.VmState> liveVms() {
		return this.liveVms;
	}

	void liveVms(List<FleetView.VmState> newLiveVms) {
		this.liveVms = List.copyOf(newLiveVms);
	}

	/**
	 * Replaces the list of VMs that was sent to the VM.
	 * @param vms the list that is to be sent
	 * @return whether it differs from the last one on this connection
	 */
	boolean replaceSentVms(List<FleetView.VmState> vms) {
		boolean changed = !vms.equals(this.sentVms);
		this.sentVms = vms;
		return changed;
	}

}
