package org.fulmargap.entry.request;

import java.util.function.LongSupplier;

import io.netty.channel.EventLoop;
import org.fulmargap.batch.AdmittedWork;
import org.fulmargap.batch.AvailableEndpoints;
import org.fulmargap.entry.DomainSpills;
import org.fulmargap.entry.EntryMetrics;
import org.fulmargap.entry.EventLog;
import org.fulmargap.entry.SetAsideEndpoints;
import org.fulmargap.entry.StoreView;
import org.fulmargap.entry.StreamVersions;
import org.fulmargap.entry.endpoint.EndpointPool;
import org.fulmargap.entry.peer.PeerMessage;
import org.fulmargap.entry.peer.PeerNetwork;
import org.fulmargap.entry.rollout.Rollouts;
import org.fulmargap.entry.stage.StageClient;
import org.fulmargap.placement.BrittleLimits;
import org.fulmargap.placement.EndpointLimits;
import org.fulmargap.placement.EndpointRecord;
import org.fulmargap.placement.Placement;
import org.fulmargap.placement.SharedRetryBudget;
import org.fulmargap.routing.CrashQuarantine;

/**
 * The objects that all requests of this VM share.
 *
 * @param loop the event loop to which these objects are confined
 * @param clockMs the current time in milliseconds
 * @param view this VM's view of the platform's store
 * @param placement chooses endpoints
 * @param retryBudget this VM's share of the retry budget
 * @param quarantine keeps requests that crash endpoints from running
 * @param promptParts keeps requests from running whose prompt parts crash engines
 * @param pool connections to endpoints
 * @param stages submits the work items of stages
 * @param admittedWork the work items that admitted requests still need
 * @param endpointReports the available stage endpoints, as reported by the VMs
 * @param peers the other entry VMs
 * @param serviceTimes the average duration of calls to each service
 * @param runTimes the duration of the runs of each route
 * @param callerTimes the longest time that callers of each route allow
 * @param openRequests the requests that are not answered yet
 * @param setAside the endpoints that announced that they want no new work
 * @param streamVersions finds where streams that are taken up may go on
 * @param rollouts the rollouts between software versions
 * @param spills the shares of requests that may leave the failure domain
 * @param limits the shares of this VM in the limits that endpoints named
 * @param brittle the places of this VM at brittle endpoints
 * @param metrics counters and latencies
 */
public record RequestServices(EventLoop loop, LongSupplier clockMs, StoreView view, Placement placement,
		SharedRetryBudget retryBudget, CrashQuarantine quarantine, PromptPartWatch promptParts, EndpointPool pool,
		StageClient stages, AdmittedWork admittedWork, AvailableEndpoints endpointReports, PeerNetwork peers,
		ServiceTimes serviceTimes, RunTimes runTimes, CallerTimes callerTimes, OpenRequests openRequests,
		SetAsideEndpoints setAside, StreamVersions streamVersions, Rollouts rollouts, DomainSpills spills,
		EndpointLimits limits, BrittleLimits brittle, EntryMetrics metrics) {

	/**
	 * Records that the connection of a request broke, and probes the endpoint to find out
	 * whether it crashed.
	 * @param endpoint the endpoint
	 * @param fingerprint the fingerprint of the request
	 */
	public void connectionLost(EndpointRecord endpoint, String fingerprint) {
		this.quarantine.connectionLost(endpoint.id(), fingerprint, nowMs());
		this.pool.probe(endpoint.address(), (reachable) -> {
			if (!reachable) {
				confirmCrash(endpoint.id(), nowMs());
			}
		});
	}

	/**
	 * Records that an endpoint crashed, because it accepts no connections, and sends the
	 * peers a crash report for each request whose connection to it broke shortly before.
	 * @param endpoint the name of the endpoint
	 * @param nowMs the current time in milliseconds
	 */
	public void confirmCrash(String endpoint, long nowMs) {
		this.view.directory().find(endpoint).ifPresent((known) -> this.promptParts.confirmCrash(known.record(), nowMs));
		this.quarantine.confirmCrash(endpoint, nowMs).forEach((fingerprint, endpoints) -> {
			EventLog.state("strike").with("endpoint", endpoint).with("fingerprint", fingerprint).write();
			this.peers.announce(new PeerMessage.CrashReport(fingerprint, endpoint));
		});
	}

	/**
	 * Returns the available endpoints of a stage service.
	 * @param service the name of the service
	 * @return the equivalent number of endpoints of usual speed
	 */
	double availableEndpoints(String service) {
		int listed = this.view.directory().available(service, nowMs()).size();
		return this.endpointReports.count(service, this.peers.coordinatorOf(service), listed, nowMs());
	}

	long nowMs() {
		return this.clockMs.getAsLong();
	}

}
