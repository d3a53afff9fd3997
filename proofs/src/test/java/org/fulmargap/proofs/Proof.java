package org.fulmargap.proofs;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.JsonNode;
import org.fulmargap.request.FailureType;
import org.fulmargap.standin.Cluster;
import org.fulmargap.standin.ClusterOptions;
import org.fulmargap.standin.Conditions;
import org.fulmargap.standin.EndpointOptions;
import org.fulmargap.standin.EntryVm;
import org.fulmargap.standin.LoopbackClient.Answer;
import org.fulmargap.standin.PlatformStandIn;
import org.fulmargap.standin.StageOutput;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Starts a cluster of three failure domains with one entry VM each for every test. Tests
 * wait for conditions with generous limits and assert nothing about speed.
 */
@Timeout(180)
abstract class Proof {

	static final String READ = "price-explanation";

	static final String ACTION = "label-push";

	/** Longer than the deadline of the pipelines and the client's connection set-up. */
	private static final long ANSWER_SECONDS = 30;

	private final AtomicInteger inputs = new AtomicInteger();

	@TempDir(cleanup = CleanupMode.ON_SUCCESS)
	Path folder;

	Cluster cluster;

	EntryVm first;

	EntryVm second;

	EntryVm third;

	@BeforeEach
	void startCluster() throws Exception {
		Path templates = Files.createDirectory(this.folder.resolve("config"));
		Path source = Path.of(System.getProperty("repository.root"), "config");
		for (String name : List.of("entry-vm.json", "first-patch.json", "second-patch.json")) {
			// The endpoints are warm, and slow start would refuse the bursts that tests
			// send.
			Files.writeString(templates.resolve(name), Files.readString(source.resolve(name))
				.replace("\"drain_notice_ms\"", "\"initial_concurrency\": 96, \"drain_notice_ms\""));
		}
		String classPath = System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
		String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
		this.cluster = new Cluster(
				new ClusterOptions(List.of("bog-norte", "bog-centro", "bog-sur"), 1, ClusterOptions.SERVICES,
						List.of(java, "-Xmx256m", "-cp", classPath, "org.fulmargap.server.FulmargapServer"), templates,
						this.folder, PlatformStandIn.Options.defaults(), EndpointOptions.warm("", 0)));
		this.first = this.cluster.vm("bog-norte-1");
		this.second = this.cluster.vm("bog-centro-1");
		this.third = this.cluster.vm("bog-sur-1");
		this.cluster.start();
		this.cluster.patch(this.first, this.cluster.firstPatch());
	}

	@AfterEach
	void stopCluster() {
		this.cluster.close();
	}

	CompletableFuture<Answer> action(EntryVm vm, String key) {
		return this.cluster.request(vm, ACTION, key, "push " + key);
	}

	static Answer answer(CompletableFuture<Answer> future) throws Exception {
		return future.get(ANSWER_SECONDS, TimeUnit.SECONDS);
	}

	/**
	 * Waits for the end of a request.
	 * @param future the request
	 * @return the answer, or {@code null} if the connection broke
	 * @throws Exception if the request does not end
	 */
	static Answer answerOrLost(CompletableFuture<Answer> future) throws Exception {
		try {
			return answer(future);
		}
		catch (ExecutionException ex) {
			assertThat(ex).hasCauseInstanceOf(IOException.class);
			return null;
		}
	}

	/**
	 * Sends an idempotent request with an input of its own.
	 * @param vm the entry VM
	 * @return the answer
	 * @throws Exception if there is none
	 */
	Answer read(EntryVm vm) throws Exception {
		String input = "read " + this.inputs.incrementAndGet();
		Answer answer = answer(this.cluster.request(vm, READ, null, input));
		if (answer.status() == 200) {
			assertThat(StageOutput.belongsTo(answer.json().path("output").asText(), input))
				.as("answer %s belongs to %s", answer.body(), input)
				.isTrue();
		}
		return answer;
	}

	void assertReadsAreAnswered(EntryVm... vms) throws Exception {
		for (EntryVm vm : vms) {
			Answer answer = read(vm);
			assertThat(answer.status()).as("answer of %s: %s", vm.name(), answer.body()).isEqualTo(200);
		}
	}

	/**
	 * Asserts what holds for every key, whatever failed: at most one execution, an answer
	 * only after an execution, and a refusal as not run only without one.
	 * @param key the key
	 * @param answers the answers to all requests with the key; {@code null} where the
	 * connection broke
	 * @throws IOException if the counts cannot be read
	 */
	void assertAtMostOnce(String key, Answer... answers) throws IOException {
		int executions = this.cluster.executionsOfKey(key);
		assertThat(executions).as("executions of %s", key).isLessThanOrEqualTo(1);
		for (Answer answer : answers) {
			if (answer == null) {
				continue;
			}
			if (answer.status() == 200) {
				assertThat(executions).as("executions after %s", answer.body()).isEqualTo(1);
				assertThat(StageOutput.belongsTo(answer.json().path("output").asText(), "push " + key)).isTrue();
			}
			else if (FailureType.valueOf(answer.errorType()).isNotRun()) {
				assertThat(executions).as("executions after %s", answer.body()).isZero();
			}
		}
	}

	void awaitExecution(String key) throws Exception {
		Conditions.await("execution of " + key, () -> this.cluster.executionsOfKey(key) == 1);
	}

	/**
	 * Waits until an entry VM has recorded an event.
	 * @param vm the entry VM
	 * @param type the type of the event
	 * @param count the least number of such events
	 * @throws Exception if the event does not come
	 */
	void awaitEvents(EntryVm vm, String type, int count) throws Exception {
		Conditions.await(count + " events " + type + " at " + vm.name(), () -> events(vm, type) >= count);
	}

	int events(EntryVm vm, String type) throws IOException {
		int found = 0;
		for (JsonNode event : this.cluster.get(vm.adminUrl() + "/v1/timeline").path("events")) {
			found += event.path("type").asText().equals(type) ? 1 : 0;
		}
		return found;
	}

	void serviceFaults(String service, Map<String, ?> faults) throws IOException {
		this.cluster.serviceFaults(service, faults);
	}

	int crashes(String service) throws IOException {
		int crashes = 0;
		for (String name : this.cluster.endpointNames()) {
			crashes += name.startsWith(service + "-") ? this.cluster.executions(name).path("crashes").asInt() : 0;
		}
		return crashes;
	}

	static Set<Integer> statuses(List<CompletableFuture<Answer>> futures) throws Exception {
		Set<Integer> statuses = new HashSet<>();
		for (CompletableFuture<Answer> future : futures) {
			statuses.add(answer(future).status());
		}
		return statuses;
	}

}
