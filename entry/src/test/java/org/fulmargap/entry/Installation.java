package org.fulmargap.entry;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.function.UnaryOperator;

import org.fulmargap.platform.NodeSettings;
import org.fulmargap.platform.standin.CallerWire;
import org.fulmargap.platform.standin.EndpointStandIn;
import org.fulmargap.platform.standin.StoreStandIn;
import org.fulmargap.rollout.RolloutLimits;

/**
 * Entry VMs in this process with stand-ins of endpoints and of the store, on the loopback
 * address.
 */
final class Installation implements AutoCloseable {

	/** How long after a disturbance a VM counts as in touch again, in milliseconds. */
	static final long CONTACT_MS = 3_000;

	/** The time after which a new configuration is in force, in milliseconds. */
	static final long CONFIG_APPLY_MS = 2_000;

	/** The time after which a draining endpoint gets nothing, in milliseconds. */
	static final long DRAIN_MS = 2_000;

	private static final long TIMEOUT_MS = 10_000;

	private static final long PORT_TIMEOUT_MS = 1_000;

	private static final int FIRST_PORT = 20_000;

	private static final int PORTS = 8_000;

	private static final AtomicInteger NEXT_PORT = new AtomicInteger((int) (ProcessHandle.current().pid() % PORTS));

	private final StoreStandIn store = new StoreStandIn();

	private final List<EntryVm> vms = new ArrayList<>();

	private final List<NodeSettings> settings = new ArrayList<>();

	private final List<Integer> metricsPorts = new ArrayList<>();

	private final List<EndpointStandIn> endpoints = new ArrayList<>();

	private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	private long graceMs = 8_000;

	private double retryRatio = 0.2;

	private double retrySlack = 54;

	private RolloutLimits rolloutLimits;

	private boolean spillEnabled;

	private final AtomicInteger lastAttempt = new AtomicInteger();

	Installation() throws IOException {
		this.store.put(CallerWire.OPERATOR_TOPIC, "config", CallerWire.CONFIG.formatted(1));
	}

	StoreStandIn store() {
		return this.store;
	}

	EndpointStandIn endpoint(String id, String service) throws IOException {
		return endpoint(id, service, "a");
	}

	EndpointStandIn endpoint(String id, String service, String failureDomain) throws IOException {
		EndpointStandIn endpoint = new EndpointStandIn(id);
		this.endpoints.add(endpoint);
		this.store.put(CallerWire.ENDPOINT_TOPIC, id, endpoint.record(service, failureDomain, "ready"));
		return endpoint;
	}

	EntryVm vm(String name) throws IOException, InterruptedException {
		return vm(name, this.store);
	}

	/**
	 * Starts an entry VM that uses a given store instead of the common one.
	 */
	EntryVm vm(String name, StoreStandIn ownStore) throws IOException, InterruptedException {
		return vm(name, ownStore.address());
	}

	/**
	 * Starts an entry VM that reaches the store at a given address.
	 */
	EntryVm vm(String name, String storeAddress) throws IOException, InterruptedException {
		return start(newSettings(name, storeAddress), UnaryOperator.identity());
	}

	private EntryVm start(NodeSettings node, UnaryOperator<InetSocketAddress> endpointRoute)
			throws IOException, InterruptedException {
		int metricsPort = freePort();
		EntryVm vm = new EntryVm(node, metricsPort, endpointRoute);
		vm.start();
		this.settings.add(node);
		this.metricsPorts.add(metricsPort);
		this.vms.add(vm);
		return vm;
	}

	/**
	 * Starts an entry VM whose direct connections to endpoints go elsewhere.
	 */
	EntryVm vm(String name, UnaryOperator<InetSocketAddress> endpointRoute) throws IOException, InterruptedException {
		return start(newSettings(name, this.store.address()), endpointRoute);
	}

	private NodeSettings newSettings(String name, String storeAddress) throws IOException {
		String ip = "127.0.0.1:";
		return new NodeSettings(name, "a", Set.of(), "127.0.0.1", ip + freePort(), ip + freePort(), freePort(),
				storeAddress, CONTACT_MS, CONFIG_APPLY_MS, DRAIN_MS, this.graceMs, this.retryRatio, this.retrySlack,
				10_000, 1, 1_000, Optional.ofNullable(this.rolloutLimits), this.spillEnabled, true);
	}

	/**
	 * Ends an entry VM without a drain and starts another one with its name, and with its
	 * addresses unless another process has taken them.
	 */
	void restart(int vm) throws IOException, InterruptedException {
		this.vms.get(vm).close();
		long deadlineMs = System.currentTimeMillis() + PORT_TIMEOUT_MS;
		while (!arePortsFree(vm) && System.currentTimeMillis() < deadlineMs) {
			Thread.sleep(20);
		}
		if (!arePortsFree(vm)) {
			this.settings.set(vm, newSettings(this.settings.get(vm).vm(), this.store.address()));
			this.metricsPorts.set(vm, freePort());
		}
		EntryVm next = new EntryVm(this.settings.get(vm), this.metricsPorts.get(vm));
		next.start();
		this.vms.set(vm, next);
	}

	private boolean arePortsFree(int vm) {
		NodeSettings node = this.settings.get(vm);
		return isFree(node.firstPeerPort()) && isFree(port(node.readinessAddress()))
				&& isFree(port(node.callerAddress())) && isFree(this.metricsPorts.get(vm));
	}

	private static int port(String address) {
		return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
	}

	private static boolean isFree(int port) {
		try (ServerSocket socket = new ServerSocket(port)) {
			return true;
		}
		catch (IOException ex) {
			return false;
		}
	}

	/**
	 * Makes VMs that are started from now on have no retry budget.
	 */
	void withoutRetries() {
		retries(0, 0);
	}

	/**
	 * Sets the retry budget of VMs that are started from now on.
	 */
	void retries(double ratio, double slack) {
		this.retryRatio = ratio;
		this.retrySlack = slack;
	}

	/**
	 * Sets the bounds of rollouts for VMs that are started from now on.
	 */
	void rolloutLimits(RolloutLimits newLimits) {
		this.rolloutLimits = newLimits;
	}

	/**
	 * Makes VMs that are started from now on decide about leaving their failure domain.
	 */
	void withSpill() {
		this.spillEnabled = true;
	}

	/**
	 * Sets how long VMs that are started from now on may take to stop.
	 */
	void graceMs(long newGraceMs) {
		this.graceMs = newGraceMs;
	}

	EntryVm vm(int vm) {
		return this.vms.get(vm);
	}

	String callerAddress(int vm) {
		return this.settings.get(vm).callerAddress();
	}

	String peerAddress(int vm) {
		return "127.0.0.1:" + this.settings.get(vm).firstPeerPort();
	}

	void awaitReady() throws InterruptedException {
		for (NodeSettings node : this.settings) {
			await(() -> status(get(node.readinessAddress(), "/readyz").build()) == 200);
		}
	}

	static void await(BooleanSupplier condition) throws InterruptedException {
		long deadlineMs = System.currentTimeMillis() + TIMEOUT_MS;
		while (!condition.getAsBoolean()) {
			if (System.currentTimeMillis() > deadlineMs) {
				throw new AssertionError("the condition was not met in time");
			}
			Thread.sleep(20);
		}
	}

	// Returns a port below the ephemeral range, so that no outgoing connection takes it
	// before it is used.
	static int freePort() throws IOException {
		IOException last = null;
		for (int i = 0; i < PORTS; i++) {
			int port = FIRST_PORT + NEXT_PORT.getAndIncrement() % PORTS;
			try (ServerSocket socket = new ServerSocket(port)) {
				return socket.getLocalPort();
			}
			catch (IOException ex) {
				last = ex;
			}
		}
		throw new IOException("no port is free", last);
	}

	String metrics(int vm) throws IOException, InterruptedException {
		return send(get("127.0.0.1:" + this.metricsPorts.get(vm), "/metrics")).body();
	}

	private static HttpRequest.Builder get(String address, String path) {
		return HttpRequest.newBuilder(URI.create("http://" + address + path)).timeout(Duration.ofMillis(TIMEOUT_MS));
	}

	HttpRequest.Builder request(int vm, String path) {
		return get(this.settings.get(vm).callerAddress(), path).header("Authorization", "Token good")
			.POST(HttpRequest.BodyPublishers.ofString("{}"));
	}

	HttpRequest.Builder attempt(int vm, String path) {
		return request(vm, path).header(CallerWire.ATTEMPT_ID, "attempt" + this.lastAttempt.incrementAndGet())
			.header(CallerWire.TIME_LEFT_MS, "5000");
	}

	HttpRequest.Builder pipeline(int vm) {
		return attempt(vm, "/stream/x").header(CallerWire.ITEM_COUNTS, "2,3")
			.header(CallerWire.INPUT_KEY, "key")
			.header(CallerWire.TOKEN_USAGE, "100,20")
			.header(CallerWire.PROMPT_PARTS, "aa:60,bb:40");
	}

	HttpResponse<String> send(HttpRequest.Builder request) throws IOException, InterruptedException {
		return this.client.send(request.build(), HttpResponse.BodyHandlers.ofString());
	}

	CompletableFuture<HttpResponse<String>> sendAsync(HttpRequest.Builder request) {
		return this.client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString());
	}

	private int status(HttpRequest request) {
		try {
			return this.client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
		}
		catch (IOException ex) {
			return 0;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return 0;
		}
	}

	@Override
	public void close() {
		this.vms.forEach(EntryVm::close);
		this.endpoints.forEach(EndpointStandIn::close);
		this.store.close();
	}

}
