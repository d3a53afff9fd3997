package org.fulmargap.standin;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.StringJoiner;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.JsonNode;
import org.fulmargap.standin.LoopbackClient.Answer;

/**
 * Entry VMs of several failure domains as processes, with the stand-ins of platform and
 * endpoints that they use. Everything listens on the loopback address.
 */
public final class Cluster implements AutoCloseable {

	/** The bearer key of the client account of the templates. */
	public static final String API_KEY = "demo-key-andinas";

	private static final Duration CALL_TIMEOUT = Duration.ofSeconds(30);

	private static final int MAX_READS = 1_000;

	private static final long POLL_NS = TimeUnit.MILLISECONDS.toNanos(20);

	private final ClusterOptions options;

	private final PlatformStandIn platform;

	private final Map<String, EndpointStandIn> endpoints = new LinkedHashMap<>();

	private final Map<String, EntryVm> vms = new LinkedHashMap<>();

	private final LoopbackClient client = new LoopbackClient(CALL_TIMEOUT, 512);

	private final LoopbackClient control = new LoopbackClient(CALL_TIMEOUT, 16);

	/** Ends the entry VMs when the process that started them is interrupted. */
	private final Thread cleanUp = new Thread(this::close, "cluster-clean-up");

	/**
	 * Creates the cluster without starting it.
	 * @param options size, command and folders
	 * @throws IOException if settings files cannot be written
	 */
	public Cluster(ClusterOptions options) throws IOException {
		this.options = options;
		Runtime.getRuntime().addShutdownHook(this.cleanUp);
		FreePorts ports = new FreePorts();
		this.platform = new PlatformStandIn(options.platform().withPorts(ports.next(options.failureDomains().size())));
		for (String domain : options.failureDomains()) {
			for (String service : options.services()) {
				String name = service + "-" + domain;
				this.endpoints.put(name, new EndpointStandIn(options.endpoint().withAddress(name, ports.next())));
			}
		}
		for (String domain : options.failureDomains()) {
			for (int number = 1; number <= options.vmsPerDomain(); number++) {
				String name = domain + "-" + number;
				List<String> command = new ArrayList<>(options.serverCommand());
				command.addAll(List.of("--settings", settingsFile(name).toString()));
				int[] vmPorts = { ports.next(), ports.next(), ports.next() };
				this.vms.put(name,
						new EntryVm(name, domain, vmPorts, command, options.workFolder().resolve(name + ".log")));
			}
		}
	}

	private Path settingsFile(String vm) {
		return this.options.workFolder().resolve(vm + ".json");
	}

	/**
	 * Starts the stand-ins and all entry VMs, and waits until they are ready.
	 * @throws Exception if something does not start in time
	 */
	public void start() throws Exception {
		this.platform.start();
		for (EndpointStandIn endpoint : this.endpoints.values()) {
			endpoint.start();
		}
		this.control.send("POST", platformUrl() + "/control/vms",
				Map.of("vms", this.vms.keySet().stream().map((name) -> Map.of("vm", name, "state", "live")).toList()));
		String template = template("entry-vm.json");
		for (EntryVm vm : this.vms.values()) {
			Files.writeString(settingsFile(vm.name()), settings(template, vm));
			vm.start();
		}
		for (EntryVm vm : this.vms.values()) {
			awaitReady(vm);
		}
	}

	private String settings(String template, EntryVm vm) {
		String peers = this.vms.values()
			.stream()
			.filter((other) -> other != vm)
			.map((other) -> '"' + other.peerAddress() + '"')
			.collect(Collectors.joining(", "));
		int domain = this.options.failureDomains().indexOf(vm.failureDomain());
		return Templates.fill(template,
				Map.of("vm", vm.name(), "failure_domain", vm.failureDomain(), "caller_address", vm.callerAddress(),
						"admin_address", vm.adminAddress(), "peer_address", vm.peerAddress(), "peers", peers,
						"platform_url", "http://127.0.0.1:" + this.platform.ports().get(domain)));
	}

	/**
	 * Waits until an entry VM is ready for all requests.
	 * @param vm the entry VM
	 * @throws Exception if it ends or does not become ready in time
	 */
	public void awaitReady(EntryVm vm) throws Exception {
		Conditions.await(vm.name() + " to be ready", () -> {
			if (!vm.isAlive()) {
				throw new IllegalStateException(vm.name() + " has ended: " + vm.output());
			}
			return get(vm.adminUrl() + "/health/ready").path("ready_non_idempotent").asBoolean();
		});
	}

	String template(String name) throws IOException {
		return Files.readString(this.options.templates().resolve(name));
	}

	/**
	 * Returns the first patch, filled from its template.
	 * @return a JSON Merge Patch
	 * @throws IOException if the template cannot be read
	 */
	public String firstPatch() throws IOException {
		StringJoiner entries = new StringJoiner(",");
		this.endpoints.forEach((name, endpoint) -> {
			int split = name.indexOf('-');
			entries.add("\n    \"" + name + "\": {\"service\": \"" + name.substring(0, split)
					+ "\", \"failure_domain\": \"" + name.substring(split + 1) + "\", \"url\": \"" + endpointUrl(name)
					+ "\", \"max_concurrency\": " + this.options.endpoint().maxConcurrency()
					+ ", \"fencing\": \"IGNORED\"}");
		});
		return Templates.fill(template("first-patch.json"),
				Map.of("api_key_sha256", Templates.sha256(API_KEY), "endpoints", entries.toString()));
	}

	/**
	 * Applies a patch at an entry VM and waits until it is in force on all that run.
	 * @param vm the entry VM that gets the patch
	 * @param mergePatch the patch as JSON text
	 * @throws Exception if the patch is refused or is not in force in time
	 */
	public void patch(EntryVm vm, String mergePatch) throws Exception {
		long version = get(vm.adminUrl() + "/v1/config").path("version").asLong();
		Answer answer = this.control.send("POST", vm.adminUrl() + "/v1/config/patches",
				Map.of("patch_id", "patch-" + version + "-" + System.nanoTime(), "expected_version", version,
						"merge_patch", Json.MAPPER.readTree(mergePatch)));
		if (answer.status() != 200) {
			throw new IllegalStateException("the patch was refused: " + answer.body());
		}
		awaitVersion(version + 1);
	}

	/**
	 * Waits until a configuration version is in force on all entry VMs that run.
	 * @param version the version
	 * @throws Exception if it is not in force in time
	 */
	public void awaitVersion(long version) throws Exception {
		for (EntryVm vm : this.vms.values()) {
			if (vm.isAlive()) {
				Conditions.await("version " + version + " on " + vm.name(),
						() -> get(vm.adminUrl() + "/v1/config").path("version").asLong() >= version);
			}
		}
	}

	/**
	 * Sends a request to an entry VM without waiting.
	 * @param vm the entry VM
	 * @param pipeline the pipeline
	 * @param key the idempotency key, or {@code null} for none
	 * @param input the input
	 * @return a future with the answer, or with the failure of the connection
	 */
	public CompletableFuture<Answer> request(EntryVm vm, String pipeline, String key, String input) {
		Map<String, String> headers = new HashMap<>();
		headers.put("Authorization", "Bearer " + API_KEY);
		if (key != null) {
			headers.put("Idempotency-Key", key);
		}
		return this.client.sendAsync("POST", vm.callerUrl() + "/v1/pipelines/" + pipeline + "/requests", headers,
				Map.of("input", input, "stream", false));
	}

	/**
	 * Sends an order for a failure domain.
	 * @param vm the entry VM that gets the order
	 * @param domain the failure domain
	 * @param state {@code OUT} or {@code IN}
	 * @return the answer
	 * @throws IOException if there is no answer
	 */
	public Answer order(EntryVm vm, String domain, String state) throws IOException {
		return this.control.send("PUT", vm.adminUrl() + "/v1/failure-domains/" + domain + "/state",
				Map.of("state", state));
	}

	/**
	 * Changes the faults of the platform.
	 * @param faults the faults that change
	 * @throws IOException if the platform does not accept them
	 */
	public void platformFaults(Map<String, ?> faults) throws IOException {
		require(this.control.send("POST", platformUrl() + "/control/faults", faults));
	}

	/**
	 * Changes the faults of an endpoint.
	 * @param endpoint the name of the endpoint
	 * @param faults the faults that change
	 * @throws IOException if the endpoint does not accept them
	 */
	public void endpointFaults(String endpoint, Map<String, ?> faults) throws IOException {
		require(this.control.send("POST", endpointUrl(endpoint) + "/control/faults", faults));
	}

	/**
	 * Changes the faults of all endpoints of a service.
	 * @param service the service
	 * @param faults the faults that change
	 * @throws IOException if an endpoint does not accept them
	 */
	public void serviceFaults(String service, Map<String, ?> faults) throws IOException {
		for (String name : this.endpoints.keySet()) {
			if (name.startsWith(service + "-")) {
				endpointFaults(name, faults);
			}
		}
	}

	private static void require(Answer answer) throws IOException {
		if (answer.status() != 200) {
			throw new IOException("fault settings refused: " + answer.body());
		}
	}

	/**
	 * Returns what an endpoint has run. While the endpoint is down after a crash, this
	 * waits until it is back.
	 * @param endpoint the name of the endpoint
	 * @return the answer of {@code GET /control/executions}
	 * @throws IOException if the endpoint does not answer in time
	 */
	public JsonNode executions(String endpoint) throws IOException {
		IOException last = null;
		for (int tries = 0; tries < MAX_READS; tries++) {
			try {
				return get(endpointUrl(endpoint) + "/control/executions?attempts=false");
			}
			catch (IOException ex) {
				last = ex;
				LockSupport.parkNanos(POLL_NS);
			}
		}
		throw last;
	}

	/**
	 * Counts the executions of an idempotency key over all endpoints.
	 * @param key the key
	 * @return the number of executions
	 * @throws IOException if an endpoint does not answer
	 */
	public int executionsOfKey(String key) throws IOException {
		int count = 0;
		for (String name : this.endpoints.keySet()) {
			count += executions(name).path("keys").path(key).asInt();
		}
		return count;
	}

	/**
	 * Counts the executions of all stages in one failure domain.
	 * @param domain the failure domain
	 * @return the number of executions
	 * @throws IOException if an endpoint does not answer
	 */
	public int executionsIn(String domain) throws IOException {
		int count = 0;
		for (String name : this.endpoints.keySet()) {
			if (name.endsWith("-" + domain)) {
				for (JsonNode each : executions(name).path("kinds")) {
					count += each.asInt();
				}
			}
		}
		return count;
	}

	/**
	 * Reads a JSON document.
	 * @param url the URL
	 * @return the document
	 * @throws IOException if there is no JSON answer
	 */
	public JsonNode get(String url) throws IOException {
		return this.control.send("GET", url, null).json();
	}

	/**
	 * Returns an entry VM.
	 * @param name the name of the VM
	 * @return the entry VM
	 */
	public EntryVm vm(String name) {
		return this.vms.get(name);
	}

	/**
	 * Returns all entry VMs.
	 * @return the VMs in the order of the failure domains
	 */
	public List<EntryVm> vms() {
		return List.copyOf(this.vms.values());
	}

	/**
	 * Returns the names of all endpoints.
	 * @return the names, service first
	 */
	public List<String> endpointNames() {
		return List.copyOf(this.endpoints.keySet());
	}

	/**
	 * Returns the base URL of an endpoint.
	 * @param name the name of the endpoint
	 * @return a URL without a final slash
	 */
	public String endpointUrl(String name) {
		return "http://127.0.0.1:" + this.endpoints.get(name).port();
	}

	/**
	 * Returns the base URL of the platform as the first failure domain sees it.
	 * @return a URL without a final slash
	 */
	public String platformUrl() {
		return "http://127.0.0.1:" + this.platform.ports().get(0);
	}

	@Override
	public void close() {
		if (Thread.currentThread() != this.cleanUp) {
			removeCleanUp();
		}
		this.client.close();
		this.control.close();
		this.vms.values().forEach(EntryVm::close);
		this.endpoints.values().forEach(EndpointStandIn::close);
		this.platform.close();
	}

	private void removeCleanUp() {
		try {
			Runtime.getRuntime().removeShutdownHook(this.cleanUp);
		}
		catch (IllegalStateException ex) {
			// The JVM is shutting down, and the hook runs or has run.
		}
	}

}
