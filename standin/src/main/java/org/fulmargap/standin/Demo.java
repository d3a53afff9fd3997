package org.fulmargap.standin;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import org.fulmargap.standin.LoopbackClient.Answer;

/**
 * Runs the steps of the demo and checks the result of each.
 */
final class Demo {

	private static final String READ_PIPELINE = "price-explanation";

	private static final String ACTION_PIPELINE = "label-push";

	private static final String DOMAIN_TAKEN_OUT = "bog-centro";

	private static final int REQUESTS_PER_STEP = 20;

	private static final long CLI_TIMEOUT_SECONDS = 20;

	/** Guarantee P3: a domain taken out gets no new work after a few seconds. */
	private static final long OUT_GRACE_NS = TimeUnit.SECONDS.toNanos(3);

	private final Cluster cluster;

	private final Path cli;

	private final Path workDirectory;

	private final PrintStream out;

	private final List<Row> rows = new ArrayList<>();

	private long stepStartedNs = System.nanoTime();

	Demo(Cluster cluster, Path cli, Path workDirectory, PrintStream out) {
		this.cluster = cluster;
		this.cli = cli;
		this.workDirectory = workDirectory;
		this.out = out;
	}

	/**
	 * Runs all steps and prints the table.
	 * @return {@code true} if all results were as expected
	 * @throws Exception if a step could not be carried out
	 */
	boolean run() throws Exception {
		EntryVm norte = this.cluster.vm("bog-norte-1");
		EntryVm centro = this.cluster.vm("bog-centro-1");
		EntryVm sur = this.cluster.vm("bog-sur-1");
		firstPatch(norte);
		String requestId = read(norte);
		actionTwice(norte, sur);
		secondPatch(centro);
		takeOut(norte);
		bringBack(norte);
		killEntryVm(centro);
		timeline(requestId);
		return printTable();
	}

	private void firstPatch(EntryVm vm) throws Exception {
		patch(vm, "first-patch", this.cluster.firstPatch());
		long version = version(vm);
		this.cluster.awaitVersion(version);
		check("first configuration as a patch", "version " + version + " on all VMs", version > 0);
	}

	private void secondPatch(EntryVm vm) throws Exception {
		long before = version(vm);
		patch(vm, "second-patch", this.cluster.template("second-patch.json"));
		this.cluster.awaitVersion(before + 1);
		Answer answer = answer(this.cluster.request(this.cluster.vm("bog-sur-2"), "shelf-lookup", null, "shelf 9"));
		check("patch adds pipeline shelf-lookup", "version " + (before + 1) + ", answer " + answer.status(),
				answer.status() == 200);
	}

	private void patch(EntryVm vm, String name, String text) throws Exception {
		Path file = this.workDirectory.resolve(name + ".json");
		Files.writeString(file, text);
		cli(vm, "patch", "--expected-version", Long.toString(version(vm)), "--file", file.toString());
	}

	private long version(EntryVm vm) throws IOException {
		return this.cluster.get(vm.adminUrl() + "/v1/config").path("version").asLong();
	}

	private String read(EntryVm vm) throws Exception {
		String input = "Why does panela cost 4,200 pesos this week in store 12?";
		Answer answer = answer(this.cluster.request(vm, READ_PIPELINE, null, input));
		JsonNode body = answer.json();
		String output = body.path("output").asText();
		this.out.println("answer=" + output);
		check("idempotent pipeline of 4 stages",
				"answer " + answer.status() + ", " + body.path("stages").size() + " stages",
				answer.status() == 200 && StageOutput.belongsTo(output, input));
		return body.path("request_id").asText();
	}

	private void actionTwice(EntryVm first, EntryVm second) throws Exception {
		String key = "demo-push-1";
		Answer firstAnswer = answer(this.cluster.request(first, ACTION_PIPELINE, key, "label 77"));
		Answer secondAnswer = answer(this.cluster.request(second, ACTION_PIPELINE, key, "label 77"));
		int executions = this.cluster.executionsOfKey(key);
		boolean same = firstAnswer.json().path("output").equals(secondAnswer.json().path("output"));
		check("action twice with the same key",
				first.name() + " " + firstAnswer.status() + ", " + second.name() + " " + secondAnswer.status()
						+ ", executions " + executions,
				firstAnswer.status() == 200 && secondAnswer.status() == 200 && same && executions == 1);
	}

	private void takeOut(EntryVm vm) throws Exception {
		long startNs = System.nanoTime();
		cli(vm, "take-out", "failure-domain", DOMAIN_TAKEN_OUT);
		Conditions.await("3 s after the order", () -> System.nanoTime() - startNs > OUT_GRACE_NS);
		int before = this.cluster.executionsIn(DOMAIN_TAKEN_OUT);
		int answered = readOnRunningVms();
		int newWork = this.cluster.executionsIn(DOMAIN_TAKEN_OUT) - before;
		check("failure domain " + DOMAIN_TAKEN_OUT + " out",
				answered + " of " + REQUESTS_PER_STEP + " answered, new work in the domain " + newWork,
				answered == REQUESTS_PER_STEP && newWork == 0);
	}

	private void bringBack(EntryVm vm) throws Exception {
		cli(vm, "bring-back", "failure-domain", DOMAIN_TAKEN_OUT);
		int before = this.cluster.executionsIn(DOMAIN_TAKEN_OUT);
		int[] sent = new int[2];
		Conditions.await("work in " + DOMAIN_TAKEN_OUT, () -> {
			sent[0] += REQUESTS_PER_STEP;
			sent[1] += readOnRunningVms();
			return this.cluster.executionsIn(DOMAIN_TAKEN_OUT) > before;
		});
		check("failure domain " + DOMAIN_TAKEN_OUT + " back",
				sent[1] + " of " + sent[0] + " answered, receives work again", sent[1] == sent[0]);
	}

	private void killEntryVm(EntryVm vm) throws Exception {
		long pid = vm.pid();
		vm.kill();
		int answered = readOnRunningVms();
		String key = "demo-push-2";
		Answer action = answer(this.cluster.request(this.cluster.vm("bog-centro-2"), ACTION_PIPELINE, key, "label 78"));
		int executions = this.cluster.executionsOfKey(key);
		check("kill -9 " + vm.name() + " (process " + pid + ")", answered + " of " + REQUESTS_PER_STEP
				+ " answered, action " + action.status() + ", executions " + executions,
				answered == REQUESTS_PER_STEP && action.status() == 200 && executions == 1);
	}

	/**
	 * Sends idempotent requests to the running VMs in turn, one at a time.
	 * @return the number of complete responses that belong to their request
	 * @throws Exception if a response is missing or cannot be parsed
	 */
	private int readOnRunningVms() throws Exception {
		List<EntryVm> running = this.cluster.vms().stream().filter(EntryVm::isAlive).toList();
		int answered = 0;
		for (int number = 0; number < REQUESTS_PER_STEP; number++) {
			String input = "Explain price " + number;
			Answer answer = answer(
					this.cluster.request(running.get(number % running.size()), READ_PIPELINE, null, input));
			if (answer.status() == 200 && StageOutput.belongsTo(answer.json().path("output").asText(), input)) {
				answered++;
			}
			else {
				this.out.println("unexpected_answer=" + answer.body());
			}
		}
		return answered;
	}

	private void timeline(String requestId) throws Exception {
		List<String> arguments = new ArrayList<>();
		for (EntryVm vm : this.cluster.vms()) {
			if (vm.isAlive()) {
				arguments.addAll(List.of("--admin", vm.adminAddress()));
			}
		}
		arguments.addAll(List.of("timeline", "--request-id", requestId));
		String lines = run(arguments);
		this.out.println("timeline of request " + requestId + ":");
		lines.lines().forEach((line) -> this.out.println("  " + line));
		check("merged timeline", lines.lines().count() + " events",
				lines.contains(requestId) && lines.contains("REQUEST_ANSWERED") && lines.contains("STAGE_ANSWERED"));
	}

	private static Answer answer(CompletableFuture<Answer> future) throws Exception {
		return future.get(30, TimeUnit.SECONDS);
	}

	private String cli(EntryVm vm, String... arguments) throws Exception {
		List<String> all = new ArrayList<>(List.of("--admin", vm.adminAddress()));
		all.addAll(List.of(arguments));
		return run(all);
	}

	private String run(List<String> arguments) throws Exception {
		List<String> command = new ArrayList<>(List.of(this.cli.toString()));
		command.addAll(arguments);
		Path output = this.workDirectory.resolve("fulmargapctl.out");
		Process process = new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(output.toFile()).start();
		if (!process.waitFor(CLI_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
			process.destroyForcibly();
			throw new IOException("command timed out: " + command);
		}
		String text = Files.readString(output, StandardCharsets.UTF_8);
		if (process.exitValue() != 0) {
			throw new IOException(command + " exited with status " + process.exitValue() + ": " + text);
		}
		return text;
	}

	private void check(String step, String result, boolean asExpected) {
		long nowNs = System.nanoTime();
		this.rows.add(new Row(step, result, (nowNs - this.stepStartedNs) / 1_000_000 + " ms", asExpected));
		this.stepStartedNs = nowNs;
	}

	private boolean printTable() {
		int stepWidth = this.rows.stream().mapToInt((row) -> row.step().length()).max().orElse(0);
		int resultWidth = this.rows.stream().mapToInt((row) -> row.result().length()).max().orElse(0);
		String format = "%-" + stepWidth + "s  %-" + resultWidth + "s  %9s  %s%n";
		this.out.println();
		this.out.printf(format, "step", "result", "took", "as expected");
		this.rows.forEach((row) -> this.out.printf(format, row.step(), row.result(), row.took(),
				row.asExpected() ? "yes" : "NO"));
		return this.rows.stream().allMatch(Row::asExpected);
	}

	/**
	 * Row of the table.
	 *
	 * @param step the step
	 * @param result the observed result
	 * @param took the duration of the step
	 * @param asExpected whether the result is as expected
	 */
	private record Row(String step, String result, String took, boolean asExpected) {
	}

}
