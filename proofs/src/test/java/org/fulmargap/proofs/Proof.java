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
 * Base class of tests that start a cluster of three failure domains with one entry VM
 * each for every test. Tests wait for conditions with generous time limits and assert
 * nothing about speed.
 */
@Timeout(180)
abstract class Proof {

	static final String READ_PIPELINE = "price-explanation";

	static final String ACTION_PIPELINE = "label-push";

	/** Longer than the deadline of the pipelines plus the client's connection setup. */
	private static final long ANSWER_TIMEOUT_SECONDS = 30;

	private final AtomicInteger readCount = new AtomicInteger();

	@TempDir(cleanup = CleanupMode.ON_SUCCESS)
	Path directory;

	Cluster cluster;

	EntryVm first;

	EntryVm second;

	EntryVm third;

	@BeforeEach
	void startCluster() throws Exception {
		Path templateDirectory = Files.createDirectory(this.directory.resolve("config"));
		Path sourceDirectory = Path.of(System.getProperty("repository.root"), "config");
		for (String name : List.of("entry-vm.json", "first-patch.json", "second-patch.json")) {
			// The endpoints start warm. With the default initial concurrency, slow start
			// would reject the bursts that the tests send.
			Files.writeString(templateDirectory.resolve(name), Files.readString(sourceDirectory.resolve(name))
				.replace("\"drain_notice_ms\"", "\"initial_concurrency\": 96, \"drain_notice_ms\""));
		}
		String classPath = System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
		String javaExecutable = Path.of(System.getProperty("java.home"), "bin", "java").toString();
		this.cluster = new Cluster(new ClusterOptions(List.of("bog-norte", "bog-centro", "bog-sur"), 1,
				ClusterOptions.SERVICES,
				List.of(javaExecutable, "-Xmx256m", "-cp", classPath, "org.fulmargap.server.FulmargapServer"),
				templateDirectory, this.directory, PlatformStandIn.Options.defaults(), EndpointOptions.warm("", 0)));
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
		return this.cluster.request(vm, ACTION_PIPELINE, key, "push " + key);
	}

	static Answer answer(CompletableFuture<Answer> future) throws Exception {
		return future.get(ANSWER_TIMEOUT_SECONDS, TimeUnit.SECONDS);
	}

	/**
	 * Waits for the end of a request.
	 * @param future the request
	 * @return the answer, or {@code null} if the connection was lost
	 * @throws Exception if the request does not end in time
	 */
	static Answer answerOrNull(CompletableFuture<Answer> future) throws Exception {
		try {
			return answer(future);
		}
		catch (ExecutionException ex) {
			assertThat(ex).hasCauseInstanceOf(IOException.class);
			return null;
		}
	}

	/**
	 * Sends an idempotent request with a unique input. Asserts that an answer with status
	 * 200 belongs to this input.
	 * @param vm the entry VM
	 * @return the answer
	 * @throws Exception if the connection is lost or no answer is received in time
	 */
	Answer read(EntryVm vm) throws Exception {
		String input = "read " + this.readCount.incrementAndGet();
		Answer answer = answer(this.cluster.request(vm, READ_PIPELINE, null, input));
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
	 * Asserts what must hold for an idempotency key under any failure: it is executed at
	 * most once, an answer with status 200 requires an execution, and an answer that
	 * states that the request did not run requires that there was none.
	 * @param key the idempotency key
	 * @param answers the answers to all requests with the key; {@code null} if the
	 * connection was lost
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
	 * @param count the minimum number of such events
	 * @throws Exception if the events are not recorded in time
	 */
	void awaitEvents(EntryVm vm, String type, int count) throws Exception {
		Conditions.await(count + " events " + type + " at " + vm.name(), () -> countEvents(vm, type) >= count);
	}

	int countEvents(EntryVm vm, String type) throws IOException {
		int eventCount = 0;
		for (JsonNode event : this.cluster.get(vm.adminUrl() + "/v1/timeline").path("events")) {
			eventCount += event.path("type").asText().equals(type) ? 1 : 0;
		}
		return eventCount;
	}

	void serviceFaults(String service, Map<String, ?> faults) throws IOException {
		this.cluster.serviceFaults(service, faults);
	}

	int countCrashes(String service) throws IOException {
		int crashCount = 0;
		for (String name : this.cluster.endpointNames()) {
			crashCount += name.startsWith(service + "-") ? this.cluster.executions(name).path("crashes").asInt() : 0;
		}
		return crashCount;
	}

	static Set<Integer> statuses(List<CompletableFuture<Answer>> futures) throws Exception {
		Set<Integer> statuses = new HashSet<>();
		for (CompletableFuture<Answer> future : futures) {
			statuses.add(answer(future).status());
		}
		return statuses;
	}

}
