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
 * Runs entry VMs of several failure domains as processes, together with the stand-ins of
 * the platform and the endpoints that they use. All of them listen on the loopback
 * address.
 */
public final class Cluster implements AutoCloseable {

	/** The API key of the client account in the templates, sent as bearer token. */
	public static final String API_KEY = "demo-key-andinas";

	private static final Duration CALL_TIMEOUT = Duration.ofSeconds(30);

	private static final int MAX_READ_ATTEMPTS = 1_000;

	private static final long POLL_NS = TimeUnit.MILLISECONDS.toNanos(20);

	private final ClusterOptions options;

	private final PlatformStandIn platform;

	private final Map<String, EndpointStandIn> endpoints = new LinkedHashMap<>();

	private final Map<String, EntryVm> vms = new LinkedHashMap<>();

	private final LoopbackClient client = new LoopbackClient(CALL_TIMEOUT, 512);

	private final LoopbackClient control = new LoopbackClient(CALL_TIMEOUT, 16);

	/** Kills the entry VMs when the JVM that started them shuts down. */
	private final Thread shutdownHook = new Thread(this::close, "cluster-clean-up");

	/**
	 * Creates the cluster without starting it.
	 * @param options the size, command and directories
	 * @throws IOException if the cluster cannot be set up
	 */
	public Cluster(ClusterOptions options) throws IOException {
		this.options = options;
		Runtime.getRuntime().addShutdownHook(this.shutdownHook);
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
						new EntryVm(name, domain, vmPorts, command, options.workDirectory().resolve(name + ".log")));
			}
		}
	}

	private Path settingsFile(String vm) {
		return this.options.workDirectory().resolve(vm + ".json");
	}

	/**
	 * Starts the stand-ins and all entry VMs, and waits until they are ready.
	 * @throws Exception if a process does not start or is not ready within 60 s
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
	 * Waits until an entry VM is ready, also for non-idempotent requests.
	 * @param vm the entry VM
	 * @throws Exception if the process has ended or is not ready within 60 s
	 */
	public void awaitReady(EntryVm vm) throws Exception {
		Conditions.await(vm.name() + " to be ready", () -> {
			if (!vm.isAlive()) {
				throw new IllegalStateException(vm.name() + " has exited: " + vm.output());
			}
			return get(vm.adminUrl() + "/health/ready").path("ready_non_idempotent").asBoolean();
		});
	}

	String template(String name) throws IOException {
		return Files.readString(this.options.templates().resolve(name));
	}

	/**
	 * Returns the patch that sets up pipelines, accounts and endpoints, filled in from
	 * its template.
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
	 * Sends a configuration patch to an entry VM and waits until it is in force on all
	 * running entry VMs.
	 * @param vm the entry VM that receives the patch
	 * @param mergePatch the patch as JSON text
	 * @throws Exception if the patch is refused or is not in force within 60 s
	 */
	public void patch(EntryVm vm, String mergePatch) throws Exception {
		long version = get(vm.adminUrl() + "/v1/config").path("version").asLong();
		Answer answer = this.control.send("POST", vm.adminUrl() + "/v1/config/patches",
				Map.of("patch_id", "patch-" + version + "-" + System.nanoTime(), "expected_version", version,
						"merge_patch", Json.MAPPER.readTree(mergePatch)));
		if (answer.status() != 200) {
			throw new IllegalStateException("configuration patch refused: " + answer.body());
		}
		awaitVersion(version + 1);
	}

	/**
	 * Waits until a configuration version, or a later one, is in force on all running
	 * entry VMs.
	 * @param version the version
	 * @throws Exception if it is not in force within 60 s
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
	 * Sends a pipeline request to an entry VM without waiting for the response.
	 * @param vm the entry VM
	 * @param pipeline the name of the pipeline
	 * @param key the idempotency key, or {@code null} for none
	 * @param input the input
	 * @return a future with the response, or with the {@link IOException} if there is
	 * none
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
	 * Orders that a failure domain is taken out of service or brought back.
	 * @param vm the entry VM that receives the order
	 * @param domain the name of the failure domain
	 * @param state {@code OUT} or {@code IN}
	 * @return the response
	 * @throws IOException if there is no response
	 */
	public Answer order(EntryVm vm, String domain, String state) throws IOException {
		return this.control.send("PUT", vm.adminUrl() + "/v1/failure-domains/" + domain + "/state",
				Map.of("state", state));
	}

	/**
	 * Changes the injected faults of the platform.
	 * @param faults the faults that change
	 * @throws IOException if there is no response or the faults are refused
	 */
	public void platformFaults(Map<String, ?> faults) throws IOException {
		requireAccepted(this.control.send("POST", platformUrl() + "/control/faults", faults));
	}

	/**
	 * Changes the injected faults of an endpoint.
	 * @param endpoint the name of the endpoint
	 * @param faults the faults that change
	 * @throws IOException if there is no response or the faults are refused
	 */
	public void endpointFaults(String endpoint, Map<String, ?> faults) throws IOException {
		requireAccepted(this.control.send("POST", endpointUrl(endpoint) + "/control/faults", faults));
	}

	/**
	 * Changes the injected faults of all endpoints of a service.
	 * @param service the name of the service
	 * @param faults the faults that change
	 * @throws IOException if an endpoint does not respond or refuses the faults
	 */
	public void serviceFaults(String service, Map<String, ?> faults) throws IOException {
		for (String name : this.endpoints.keySet()) {
			if (name.startsWith(service + "-")) {
				endpointFaults(name, faults);
			}
		}
	}

	private static void requireAccepted(Answer answer) throws IOException {
		if (answer.status() != 200) {
			throw new IOException("fault settings refused: " + answer.body());
		}
	}

	/**
	 * Returns the executions at an endpoint. While the endpoint is down after a crash,
	 * the read is repeated.
	 * @param endpoint the name of the endpoint
	 * @return the response body of {@code GET /control/executions}, without attempts
	 * @throws IOException if the endpoint does not respond to 1,000 reads, 20 ms apart
	 */
	public JsonNode executions(String endpoint) throws IOException {
		IOException lastFailure = null;
		for (int tries = 0; tries < MAX_READ_ATTEMPTS; tries++) {
			try {
				return get(endpointUrl(endpoint) + "/control/executions?attempts=false");
			}
			catch (IOException ex) {
				lastFailure = ex;
				LockSupport.parkNanos(POLL_NS);
			}
		}
		throw lastFailure;
	}

	/**
	 * Counts the executions of an idempotency key at all endpoints.
	 * @param key the idempotency key
	 * @return the number of executions
	 * @throws IOException if an endpoint does not respond
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
	 * @param domain the name of the failure domain
	 * @return the number of executions
	 * @throws IOException if an endpoint does not respond
	 */
	public int executionsIn(String domain) throws IOException {
		int count = 0;
		for (String name : this.endpoints.keySet()) {
			if (name.endsWith("-" + domain)) {
				for (JsonNode kindCount : executions(name).path("kinds")) {
					count += kindCount.asInt();
				}
			}
		}
		return count;
	}

	/**
	 * Reads a JSON document.
	 * @param url the URL
	 * @return the document
	 * @throws IOException if there is no response or it is not JSON
	 */
	public JsonNode get(String url) throws IOException {
		return this.control.send("GET", url, null).json();
	}

	/**
	 * Returns an entry VM.
	 * @param name the name of the VM
	 * @return the entry VM, or {@code null} if there is none of this name
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
	 * @return the names, each the service and the failure domain joined by a hyphen
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
	 * Returns the base URL of the platform on the port of the first failure domain.
	 * @return a URL without a final slash
	 */
	public String platformUrl() {
		return "http://127.0.0.1:" + this.platform.ports().get(0);
	}

	@Override
	public void close() {
		if (Thread.currentThread() != this.shutdownHook) {
			removeShutdownHook();
		}
		this.client.close();
		this.control.close();
		this.vms.values().forEach(EntryVm::close);
		this.endpoints.values().forEach(EndpointStandIn::close);
		this.platform.close();
	}

	private void removeShutdownHook() {
		try {
			Runtime.getRuntime().removeShutdownHook(this.shutdownHook);
		}
		catch (IllegalStateException ex) {
			// The JVM is shutting down, and the hook runs or has run.
		}
	}

}
