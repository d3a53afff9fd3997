package org.fulmargap.entry.request;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.netty.channel.EventLoop;
import org.fulmargap.entry.EventLog;
import org.fulmargap.entry.endpoint.EndpointPool;
import org.fulmargap.entry.peer.PeerMessage;
import org.fulmargap.entry.peer.PeerNetwork;
import org.fulmargap.placement.EndpointRecord;
import org.fulmargap.routing.PartCrash;
import org.fulmargap.routing.PromptPartQuarantine;

/**
 * Reports what this VM's calls say about the parts of prompts to the quarantine and to
 * the other VMs. Confined to the event loop.
 */
public final class PromptPartWatch {

	/**
	 * An endpoint that accepts connections when one was lost is probed again after this
	 * time, in milliseconds: its crash may close them before it stops listening.
	 */
	private static final long PROBE_AGAIN_MS = 150;

	private final PromptPartQuarantine quarantine;

	private final PeerNetwork peers;

	private final EndpointPool pool;

	private final EventLoop loop;

	private final LongSupplier clockMs;

	/**
	 * Creates a watch.
	 * @param quarantine decides which parts are refused
	 * @param peers the other VMs
	 * @param pool connections to endpoints
	 * @param loop the event loop
	 * @param clockMs the current time in milliseconds
	 */
	public PromptPartWatch(PromptPartQuarantine quarantine, PeerNetwork peers, EndpointPool pool, EventLoop loop,
			LongSupplier clockMs) {
		this.quarantine = quarantine;
		this.peers = peers;
		this.pool = pool;
		this.loop = loop;
		this.clockMs = clockMs;
	}

	boolean mustRefuse(Set<String> parts, long nowMs) {
		return this.quarantine.mustRefuse(parts, nowMs);
	}

	boolean mayRepeat(Set<String> parts, long nowMs) {
		return this.quarantine.mayRepeat(parts, nowMs);
	}

	void connectionLost(EndpointRecord endpoint, Set<String> parts, long nowMs) {
		this.quarantine.connectionLost(endpoint.id(), endpoint.id() + '@' + endpoint.startedAtMs(), parts, nowMs);
		this.loop.schedule(() -> probeAgain(endpoint), PROBE_AGAIN_MS, TimeUnit.MILLISECONDS);
	}

	private void probeAgain(EndpointRecord endpoint) {
		if (!this.quarantine.awaitsConfirmation(endpoint.id())) {
			return;
		}
		this.pool.probe(endpoint.address(), (reachable) -> {
			if (!reachable) {
				confirmCrash(endpoint, this.clockMs.getAsLong());
			}
		});
	}

	/**
	 * Records that an endpoint accepts no connections. While a cut separates this VM from
	 * the endpoint's failure domain, that doesn't count as a crash.
	 * @param endpoint the endpoint
	 * @param nowMs the current time in milliseconds
	 */
	void confirmCrash(EndpointRecord endpoint, long nowMs) {
		if (this.peers.isCutOffFrom(endpoint.failureDomain())) {
			this.quarantine.forgetLost(endpoint.id());
			return;
		}
		Optional<PartCrash> crash = this.quarantine.confirmCrash(endpoint.id(), nowMs);
		crash.ifPresent((present) -> {
			EventLog.state("part_crash")
				.with("process", present.process())
				.with("parts", String.join(",", present.parts()))
				.write();
			this.peers.announce(new PeerMessage.PromptPartCrash(present));
		});
	}

	void answered(Set<String> parts, long nowMs) {
		Set<String> cleared = this.quarantine.answered(parts, nowMs, nowMs);
		if (!cleared.isEmpty()) {
			EventLog.state("parts_cleared").with("parts", String.join(",", cleared)).write();
			this.peers.announce(new PeerMessage.PromptPartsAnswered(cleared, nowMs));
		}
	}

}
