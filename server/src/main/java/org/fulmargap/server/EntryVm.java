package org.fulmargap.server;

import java.io.IOException;
import java.net.SocketException;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongSupplier;

import org.fulmargap.endpoint.EndpointClient;
import org.fulmargap.endpoint.LoadPoller;
import org.fulmargap.http.CallerApi;
import org.fulmargap.http.OperatorApi;
import org.fulmargap.membership.Incarnation;
import org.fulmargap.timeline.EventType;
import org.fulmargap.timeline.Timeline;

/**
 * Entry VM with its lifecycle: starts the components, drains requests and stops the
 * components.
 */
final class EntryVm implements AutoCloseable {

	private static final long POLL_INTERVAL_NANOS = 10_000_000;

	private final Settings settings;

	private final Incarnation incarnation;

	private final Lifecycle lifecycle;

	private final Threads threads;

	private final Membership membership;

	private final EndpointClient client;

	private final RouterUpdater routerUpdater;

	private final LoadPoller loadPoller;

	private final CallerApi callerApi;

	private final OperatorApi operatorApi;

	private final Timeline timeline;

	private final LongSupplier clock;

	EntryVm(Settings settings, Incarnation incarnation, Lifecycle lifecycle, Threads threads, Membership membership,
			EndpointClient client, RouterUpdater routerUpdater, LoadPoller loadPoller, CallerApi callerApi,
			OperatorApi operatorApi, Timeline timeline, LongSupplier clock) {
		this.settings = settings;
		this.incarnation = incarnation;
		this.lifecycle = lifecycle;
		this.threads = threads;
		this.membership = membership;
		this.client = client;
		this.routerUpdater = routerUpdater;
		this.loadPoller = loadPoller;
		this.callerApi = callerApi;
		this.operatorApi = operatorApi;
		this.timeline = timeline;
		this.clock = clock;
	}

	/**
	 * Starts all components.
	 * @throws SettingsException if an address cannot be used
	 */
	void start() throws SettingsException {
		listen("admin_address", this.settings.adminAddress(), this.operatorApi::start);
		try {
			this.membership.start();
		}
		catch (IOException ex) {
			throw unusable("peer_address", this.settings.peerAddress(), ex);
		}
		this.routerUpdater.start();
		this.loadPoller.start();
		listen("caller_address", this.settings.callerAddress(), this.callerApi::start);
		this.timeline.record(EventType.STARTED, "", 0, "incarnation", this.incarnation, "caller_port",
				this.callerApi.port(), "admin_port", this.operatorApi.port());
	}

	private static void listen(String field, Address address, Listener listener) throws SettingsException {
		try {
			listener.start(address.host(), address.port());
		}
		catch (RuntimeException ex) {
			for (Throwable cause = ex; cause != null; cause = cause.getCause()) {
				if (cause instanceof SocketException) {
					throw unusable(field, address, cause);
				}
			}
			throw ex;
		}
	}

	private static SettingsException unusable(String field, Address address, Throwable cause) {
		return new SettingsException(
				"settings: field '" + field + "': " + address + " cannot be used: " + cause.getMessage(), cause);
	}

	int callerPort() {
		return this.callerApi.port();
	}

	int adminPort() {
		return this.operatorApi.port();
	}

	/**
	 * Shuts down gracefully: announces the shutdown to peers, accepts new requests until
	 * the notice time has passed, waits for running requests up to the drain limit, and
	 * stops the components.
	 */
	void drain() {
		long startMs = this.clock.getAsLong();
		this.lifecycle.drain(startMs);
		this.membership.announceLeave();
		this.timeline.record(EventType.DRAINING, "", 0, "in_flight", this.callerApi.inFlight());
		long noticeEndMs = startMs + this.settings.drainNoticeMs();
		long limitMs = noticeEndMs + this.settings.drainLimitMs();
		while (this.clock.getAsLong() < noticeEndMs
				|| (this.callerApi.inFlight() > 0 && this.clock.getAsLong() < limitMs)) {
			LockSupport.parkNanos(POLL_INTERVAL_NANOS);
		}
		this.membership.leave();
		close();
	}

	@Override
	public void close() {
		int interrupted = this.callerApi.inFlight();
		this.callerApi.close();
		this.loadPoller.close();
		this.routerUpdater.close();
		this.membership.close();
		this.threads.stop();
		this.client.close();
		this.operatorApi.close();
		this.timeline.record(EventType.STOPPED, "", 0, "interrupted", interrupted);
	}

	/**
	 * Starts a listener on an address.
	 */
	@FunctionalInterface
	private interface Listener {

		void start(String host, int port);

	}

}
