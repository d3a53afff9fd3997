package org.fulmargap.entry.request;

import java.util.function.LongSupplier;

import io.netty.channel.EventLoop;
import org.fulmargap.batch.AdmittedWork;
import org.fulmargap.batch.AvailableEndpoints;
import org.fulmargap.entry.EntryMetrics;
import org.fulmargap.entry.EventLog;
import org.fulmargap.entry.StoreView;
import org.fulmargap.entry.endpoint.EndpointPool;
import org.fulmargap.entry.peer.PeerMessage;
import org.fulmargap.entry.peer.PeerNetwork;
import org.fulmargap.entry.stage.StageClient;
import org.fulmargap.placement.EndpointRecord;
import org.fulmargap.placement.Placement;
import org.fulmargap.placement.SharedRetryBudget;
import org.fulmargap.routing.CrashQuarantine;

/**
 * What requests share.
 *
 * @param loop the event loop to which everything here is confined
 * @param clockMs the present time in milliseconds
 * @param view what the platform's store holds
 * @param placement chooses endpoints
 * @param retries this VM's share of repeats
 * @param quarantine requests that crash endpoints
 * @param pool connections to endpoints
 * @param stages runs stages
 * @param admittedWork the work items that admitted requests still need
 * @param endpointReports the available stage endpoints, as reported by the VMs
 * @param peers the other entry VMs
 * @param times usual times of services
 * @param callerTimes the time that callers give their requests
 * @param metrics counters and latencies
 */
public record RequestServices(EventLoop loop, LongSupplier clockMs, StoreView view, Placement placement,
		SharedRetryBudget retries, CrashQuarantine quarantine, EndpointPool pool, StageClient stages,
		AdmittedWork admittedWork, AvailableEndpoints endpointReports, PeerNetwork peers, ServiceTimes times,
		CallerTimes callerTimes, EntryMetrics metrics) {

	/**
	 * Records that the connection of a request broke, and finds out whether the endpoint
	 * crashed.
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
	 * Records that an endpoint crashed, and tells the peers which requests it ran.
	 * @param endpoint the name of the endpoint
	 * @param nowMs the present time in milliseconds
	 */
	public void confirmCrash(String endpoint, long nowMs) {
		this.quarantine.confirmCrash(endpoint, nowMs).forEach((fingerprint, endpoints) -> {
			EventLog.state("strike").with("endpoint", endpoint).with("fingerprint", fingerprint).write();
			this.peers.sendAll(new PeerMessage.CrashReport(fingerprint, endpoint));
		});
	}

	/**
	 * Returns the endpoints of a stage service that work.
	 * @param service the name of the service
	 * @return the number of endpoints of usual speed
	 */
	double availableEndpoints(String service) {
		int listed = this.view.directory().available(service, nowMs()).size();
		return this.endpointReports.count(service, this.peers.coordinatorOf(service), listed, nowMs());
	}

	long nowMs() {
		return this.clockMs.getAsLong();
	}

}
