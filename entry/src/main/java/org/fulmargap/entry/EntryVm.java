package org.fulmargap.entry;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.UnaryOperator;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.fulmargap.batch.AdmittedWork;
import org.fulmargap.batch.AvailableEndpoints;
import org.fulmargap.entry.caller.CallerServer;
import org.fulmargap.entry.endpoint.EndpointConnector;
import org.fulmargap.entry.endpoint.EndpointPool;
import org.fulmargap.entry.peer.PeerListener;
import org.fulmargap.entry.peer.PeerMessage;
import org.fulmargap.entry.peer.PeerNetwork;
import org.fulmargap.entry.peer.PeerRelays;
import org.fulmargap.entry.peer.RelayServer;
import org.fulmargap.entry.request.CallerTimes;
import org.fulmargap.entry.request.OpenRequests;
import org.fulmargap.entry.request.PromptPartWatch;
import org.fulmargap.entry.request.RequestRouter;
import org.fulmargap.entry.request.RequestServices;
import org.fulmargap.entry.request.RunTimes;
import org.fulmargap.entry.request.ServiceTimes;
import org.fulmargap.entry.rollout.RolloutStore;
import org.fulmargap.entry.rollout.Rollouts;
import org.fulmargap.entry.stage.StageCallDispatcher;
import org.fulmargap.entry.stage.StageClient;
import org.fulmargap.fleet.EndpointLoad;
import org.fulmargap.fleet.FleetMember;
import org.fulmargap.fleet.LoadReport;
import org.fulmargap.fleet.StorePosition;
import org.fulmargap.placement.BrittleLimits;
import org.fulmargap.placement.Endpoint;
import org.fulmargap.placement.EndpointLimits;
import org.fulmargap.placement.PeerLoad;
import org.fulmargap.placement.Placement;
import org.fulmargap.placement.SharedRetryBudget;
import org.fulmargap.platform.NodeSettings;
import org.fulmargap.platform.StoreClient;
import org.fulmargap.platform.StoreException;
import org.fulmargap.routing.CrashQuarantine;
import org.fulmargap.routing.PromptPartQuarantine;

/**
 * One entry VM on the users' platform. All work except access to the store runs on one
 * event loop, because these VMs have less than one core.
 */
public final class EntryVm implements AutoCloseable, PeerListener {

	private static final int MAX_FINGERPRINTS = 1_000;

	/**
	 * The number of crashed endpoints after which a request is refused. It is above the
	 * default because reads of one path by one account share a fingerprint, and one
	 * network failure breaks several of them at once.
	 */
	private static final int CRASHES_TO_QUARANTINE = 3;

	/**
	 * The processor share, in cores, that a Mbit/s of the VM's link supports when it
	 * relays for others.
	 */
	private static final double CORES_PER_MBPS = 0.02;

	/**
	 * The number of VMs that may make the calls of one stage service at the same time,
	 * because they don't hear each other. They share the retries.
	 */
	private static final int MAX_COORDINATORS = 4;

	private static final long NANOS_PER_MS = 1_000_000;

	/** How long the event loop must be idle before it ends, in milliseconds. */
	private static final long CLOSE_QUIET_MS = 20;

	/** The longest time in which the event loop starts to end, in milliseconds. */
	private static final long CLOSE_TIMEOUT_MS = 150;

	/**
	 * How long the end of the event loop is awaited, in milliseconds. It is a part of the
	 * time between the end of a drain and SIGKILL.
	 */
	private static final long CLOSE_WAIT_MS = 300;

	/** The longest time between two tries to serve the metrics, in milliseconds. */
	private static final long METRICS_RETRY_MS = 30_000;

	/** How often a VM whose ports are taken looks whether it serves, in milliseconds. */
	private static final long LISTENING_POLL_MS = 50;

	private final NodeSettings settings;

	private final int metricsPort;

	private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final EventLoop loop = (EventLoop) this.group.next();

	private final LongSupplier clockMs = () -> System.nanoTime() / NANOS_PER_MS;

	private final LoopStalls stalls = new LoopStalls(this.loop, this.clockMs);

	private final StoreView view = new StoreView();

	private final EntryMetrics metrics = new EntryMetrics();

	private final SetAsideEndpoints setAside = new SetAsideEndpoints(this.loop, this.clockMs, this.view.directory(),
			this::limitShare, this.metrics);

	private final CrashQuarantine quarantine = new CrashQuarantine(MAX_FINGERPRINTS, CRASHES_TO_QUARANTINE);

	private final PromptPartQuarantine promptParts = new PromptPartQuarantine();

	private final AdmittedWork admittedWork = new AdmittedWork();

	private final AvailableEndpoints endpointReports = new AvailableEndpoints();

	private final PeerNetwork peers;

	private final StageCallDispatcher dispatcher;

	private final StageClient stages;

	private final CallerServer callers;

	private final StoreClient store;

	private final QuarantineSync quarantineSync;

	private final StreamVersions streamVersions;

	private final RolloutStore rolloutStore;

	private final Rollouts rollouts;

	private final DomainSpills spills;

	private final StoreWatch watch;

	private final Drain drain;

	private final MemoryWatch memoryWatch;

	private ListeningPort readinessPort;

	/**
	 * Creates an entry VM that does not listen yet.
	 * @param settings the settings from the platform
	 * @param metricsPort the port that serves the metrics
	 */
	public EntryVm(NodeSettings settings, int metricsPort) {
		this(settings, metricsPort, UnaryOperator.identity());
	}

	/**
	 * Creates an entry VM whose connections to endpoints go elsewhere.
	 * @param settings the settings from the platform
	 * @param metricsPort the port that serves the metrics
	 * @param endpointRoute where direct connections to an endpoint's address go
	 */
	EntryVm(NodeSettings settings, int metricsPort, UnaryOperator<InetSocketAddress> endpointRoute) {
		this.settings = settings;
		this.metricsPort = metricsPort;
		this.setAside.recordsLoad(settings.speedsEnabled());
		this.peers = new PeerNetwork(ownMember(settings), System.currentTimeMillis(), this.loop, this.clockMs,
				this.stalls, this.metrics);
		EndpointConnector connector = new EndpointConnector(this.loop, this.clockMs, this.view.directory(),
				settings.failureDomain(), new PeerRelays(this.peers, this.loop, this.clockMs, settings.regionDomains()),
				endpointRoute, this.metrics);
		this.peers.relays(new RelayServer(this.view.directory(), connector, this.metrics));
		EndpointPool pool = new EndpointPool(this.loop, this.clockMs, this.stalls, connector);
		SharedRetryBudget retries = new SharedRetryBudget(settings.retryRatio(), settings.retrySlack(),
				settings.retryWindowMs());
		this.store = new StoreClient(settings.storeAddress());
		this.streamVersions = new StreamVersions(this.store, this.loop, this.clockMs, this.view.directory(), this.peers,
				this::readEndpoints, this.metrics);
		this.rolloutStore = new RolloutStore(this.store, this.loop);
		this.rollouts = new Rollouts(settings.rolloutLimits(), this.view.directory(), this.peers, this.rolloutStore,
				this.metrics, this.clockMs);
		this.dispatcher = new StageCallDispatcher(this.loop, this.clockMs, this.view, pool, retries,
				() -> Math.min(this.peers.vmCount(), MAX_COORDINATORS), this.setAside, this.rollouts,
				settings.speedsEnabled(), this.metrics);
		this.stages = new StageClient(this.loop, this.dispatcher, this.peers);
		this.spills = new DomainSpills(settings.spillEnabled(), settings.failureDomain(), this.view, this.peers,
				this.rollouts, this.metrics);
		OpenRequests openRequests = new OpenRequests();
		RequestServices services = new RequestServices(this.loop, this.clockMs, this.view,
				new Placement(settings.failureDomain(), settings.speedsEnabled()), retries, this.quarantine,
				new PromptPartWatch(this.promptParts, this.peers, pool, this.loop, this.clockMs), pool, this.stages,
				this.admittedWork, this.endpointReports, this.peers, new ServiceTimes(), new RunTimes(),
				new CallerTimes(), openRequests, this.setAside, this.streamVersions, this.rollouts, this.spills,
				new EndpointLimits(this::limitShare), new BrittleLimits(this.peers::position), this.metrics);
		this.view.onEndpointChange((record) -> openRequests.endpointChanged());
		RequestRouter router = new RequestRouter(services);
		this.callers = new CallerServer(this.loop, this.clockMs, this.stalls, this.view::limits, router);
		this.memoryWatch = new MemoryWatch(this.clockMs, this.metrics, pool.answerMemory()::usedBytes,
				this.callers::requestBytes);
		this.drain = new Drain(settings, this.loop, this.clockMs, this.callers, this.peers, router, openRequests,
				this.dispatcher, this.store::calls);
		this.quarantineSync = new QuarantineSync(this.store, this.loop, this.clockMs, this.promptParts, this.peers);
		this.watch = new StoreWatch(this.store, this.loop, this.clockMs, this.view, this.peers, this.quarantineSync,
				this.rollouts, settings, ownMember(settings));
	}

	private void readEndpoints() throws StoreException {
		this.watch.readEndpoints();
	}

	private double limitShare(String endpoint, double limitPerSecond, long nowMs) {
		return this.peers.limitShare(endpoint, limitPerSecond, nowMs);
	}

	private static FleetMember ownMember(NodeSettings settings) {
		double capacity = Math.min(settings.processorCores(), settings.linkMbps() * CORES_PER_MBPS);
		return new FleetMember(settings.vm(), settings.ip() + ':' + settings.firstPeerPort(), settings.failureDomain(),
				capacity);
	}

	/**
	 * Starts to listen for peers, readiness probes and callers, and to read the store. A
	 * port that can't be opened yet is tried again; this VM serves without its metrics,
	 * and is ready when the other ports are open.
	 * @throws InterruptedException if the thread is interrupted meanwhile
	 */
	public void start() throws InterruptedException {
		this.memoryWatch.start();
		this.peers.start(this.settings.ip(), this.settings.firstPeerPort(), this);
		this.watch.start();
		ReadinessServer readiness = new ReadinessServer(this.loop, this::isReady, this.metrics);
		String address = this.settings.readinessAddress();
		this.readinessPort = readiness.listen(this.settings.ip(),
				Integer.parseInt(address.substring(address.lastIndexOf(':') + 1)), ListeningPort.MAX_RETRY_MS);
		readiness.listen(this.settings.ip(), this.metricsPort, METRICS_RETRY_MS);
		this.callers.listen(this.settings.callerAddress());
		this.loop.execute(this::logStarted);
	}

	private void logStarted() {
		if (isListening() && this.readinessPort.isOpen()) {
			EventLog.state("started")
				.with("vm", this.settings.vm())
				.with("domain", this.settings.failureDomain())
				.write();
		}
		else {
			this.loop.schedule(this::logStarted, LISTENING_POLL_MS, TimeUnit.MILLISECONDS);
		}
	}

	private boolean isListening() {
		return this.callers.isListening() && this.peers.isListening();
	}

	/**
	 * Waits until the event loop has ended, after {@link #close} or a fatal error.
	 * @throws InterruptedException if the thread is interrupted meanwhile
	 */
	void awaitEnd() throws InterruptedException {
		this.group.terminationFuture().await();
	}

	private boolean isReady() {
		return !this.drain.hasBegun() && this.view.isComplete() && isListening();
	}

	/**
	 * Drains this VM: new requests are accepted for a notice period and refused after it.
	 * Returns when each request is answered and no work item is in flight, shortly before
	 * the platform kills the process at the latest. Further calls change nothing and
	 * return at once.
	 * @return {@code false} if an earlier call drains or has drained this VM
	 * @throws InterruptedException if the thread is interrupted meanwhile
	 */
	public boolean drain() throws InterruptedException {
		return this.drain.run();
	}

	/**
	 * Returns whether this VM gets the records of the store from a hub.
	 * @return {@code true} if it does; {@code false} if it reads them itself
	 */
	boolean followsAHub() {
		return this.loop.submit(() -> !this.peers.isHub() && this.peers.isStoreRelayed())
			.awaitUninterruptibly()
			.getNow();
	}

	@Override
	public void received(String peer, PeerMessage message) {
		long nowMs = this.clockMs.getAsLong();
		if (message instanceof PeerMessage.Heartbeat heartbeat) {
			this.watch.comparePositions(peer, heartbeat.positions(), nowMs);
		}
		else if (message instanceof PeerMessage.PromptSent sent) {
			this.view.directory().find(sent.endpoint()).ifPresent((endpoint) -> recordPeerPrompt(endpoint, sent));
		}
		else if (message instanceof PeerMessage.WorkItems items) {
			this.stages.receive(peer, items);
		}
		else if (message instanceof PeerMessage.Outcomes outcomes) {
			this.stages.receive(outcomes);
		}
		else if (message instanceof PeerMessage.Cancellation cancellation) {
			this.stages.receive(peer, cancellation);
		}
		else if (message instanceof PeerMessage.Release release) {
			this.stages.receive(release);
		}
		else if (message instanceof PeerMessage.StreamBegun begun) {
			this.streamVersions.heard(begun.origin());
		}
		else if (message instanceof PeerMessage.RecordsRequest request) {
			this.watch.sendRecords(peer, request);
		}
		else if (message instanceof PeerMessage.Records records) {
			this.watch.received(peer, records, nowMs);
		}
		else if (message instanceof PeerMessage.CrashReport crashReport) {
			this.quarantine.mergeCrashReports(Map.of(crashReport.fingerprint(), List.of(crashReport.endpoint())),
					nowMs);
			EventLog.state("strike_heard")
				.with("peer", peer)
				.with("endpoint", crashReport.endpoint())
				.with("fingerprint", crashReport.fingerprint())
				.write();
		}
		else {
			receivedPromptParts(message, nowMs);
		}
	}

	private void receivedPromptParts(PeerMessage message, long nowMs) {
		if (message instanceof PeerMessage.PromptPartCrash crashed) {
			this.promptParts.add(crashed.crash(), nowMs);
		}
		else if (message instanceof PeerMessage.PromptPartsAnswered answered) {
			this.promptParts.answered(answered.parts(), answered.atMs(), nowMs);
		}
		else if (message instanceof PeerMessage.PromptPartVerdicts refused) {
			refused.verdicts().forEach((verdict) -> this.promptParts.add(verdict, nowMs));
		}
	}

	@Override
	public void reported(String peer, LoadReport report) {
		long nowMs = this.clockMs.getAsLong();
		this.admittedWork.recordReport(peer, report.admittedItems(), nowMs);
		this.setAside.reportedLeaving(report.leaving());
		this.setAside.reportedLimits(report.limits());
		this.setAside.reportedBrittle(report.brittle());
		this.rollouts.reported(peer, report.rollouts(), nowMs);
		report.availableEndpoints().forEach((vm, available) -> this.endpointReports.recordReport(vm, available, nowMs));
		for (Endpoint endpoint : this.view.directory().all()) {
			EndpointLoad load = report.loads().get(endpoint.record().id());
			endpoint.recordReport(peer, (load != null) ? new PeerLoad(load.inFlight(), load.prefillTokens(), nowMs)
					: new PeerLoad(0, 0, nowMs));
		}
	}

	private void recordPeerPrompt(Endpoint endpoint, PeerMessage.PromptSent sent) {
		this.view.catalog()
			.map((catalog) -> catalog.services().get(endpoint.record().service()))
			.filter((service) -> service.engine() != null)
			.ifPresent((service) -> endpoint.peerSent(sent.prompt(), service.engine().cacheTokens()));
	}

	@Override
	public void peerLost(String peer) {
		this.stages.peerLost(peer);
	}

	@Override
	public List<StorePosition> positions() {
		return this.watch.positions();
	}

	@Override
	public void hubsChosen(long nowMs) {
		this.watch.update(nowMs);
		this.quarantineSync.update(nowMs);
		this.streamVersions.update(nowMs);
		this.rollouts.update(nowMs);
		this.spills.update(nowMs);
	}

	@Override
	public boolean isStoreReached() {
		return this.watch.isStoreReached();
	}

	@Override
	public Set<String> awaitedPeers() {
		return this.stages.awaitedPeers();
	}

	@Override
	public LoadReport ownReport() {
		long nowMs = this.clockMs.getAsLong();
		Map<String, Double> available = this.dispatcher.availableEndpoints();
		this.endpointReports.recordReport(this.settings.vm(), available, nowMs);
		Map<String, EndpointLoad> loads = new HashMap<>();
		for (Endpoint endpoint : this.view.directory().all()) {
			if (endpoint.ownInFlight() > 0) {
				loads.put(endpoint.record().id(),
						new EndpointLoad(endpoint.ownInFlight(), endpoint.ownPrefillTokens()));
			}
		}
		return new LoadReport(loads, this.admittedWork.own(), Map.of(this.settings.vm(), available),
				this.view.directory().leaving(nowMs), this.view.directory().limits(nowMs), this.rollouts.own(nowMs),
				this.view.directory().brittle(nowMs));
	}

	/**
	 * Closes all ports and connections. Returns when they are closed, so that no caller
	 * sends a request to a process that ends without reading it.
	 */
	@Override
	public void close() {
		this.memoryWatch.close();
		this.watch.close();
		this.quarantineSync.close();
		this.streamVersions.close();
		this.rolloutStore.close();
		this.store.close();
		// Without a quiet period the event loop may end before it has closed its
		// connections.
		this.group.shutdownGracefully(CLOSE_QUIET_MS, CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS)
			.awaitUninterruptibly(CLOSE_WAIT_MS);
	}

}
