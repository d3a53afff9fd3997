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
 * The steps of the demo, each with a check.
 */
final class Demo {

	private static final String READ = "price-explanation";

	private static final String ACTION = "label-push";

	private static final String OUT_DOMAIN = "bog-centro";

	private static final int REQUESTS_PER_STEP = 20;

	private static final long CLI_TIMEOUT_SECONDS = 20;

	/** P3 promises that a failure domain gets no new work after a few seconds. */
	private static final long OUT_AFTER_NS = TimeUnit.SECONDS.toNanos(3);

	private final Cluster cluster;

	private final Path cli;

	private final Path workFolder;

	private final PrintStream out;

	private final List<Row> rows = new ArrayList<>();

	private long stepStartedNs = System.nanoTime();

	Demo(Cluster cluster, Path cli, Path workFolder, PrintStream out) {
		this.cluster = cluster;
		this.cli = cli;
		this.workFolder = workFolder;
		this.out = out;
	}

	/**
	 * Runs all steps and prints the table.
	 * @return {@code true} if everything was as promised
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
		killOne(centro);
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
		Path file = this.workFolder.resolve(name + ".json");
		Files.writeString(file, text);
		cli(vm, "patch", "--expected-version", Long.toString(version(vm)), "--file", file.toString());
	}

	private long version(EntryVm vm) throws IOException {
		return this.cluster.get(vm.adminUrl() + "/v1/config").path("version").asLong();
	}

	private String read(EntryVm vm) throws Exception {
		String input = "Why does panela cost 4,200 pesos this week in store 12?";
		Answer answer = answer(this.cluster.request(vm, READ, null, input));
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
		Answer one = answer(this.cluster.request(first, ACTION, key, "label 77"));
		Answer two = answer(this.cluster.request(second, ACTION, key, "label 77"));
		int executions = this.cluster.executionsOfKey(key);
		boolean same = one.json().path("output").equals(two.json().path("output"));
		check("action twice with one key", first.name() + " " + one.status() + ", " + second.name() + " " + two.status()
				+ ", executions " + executions, one.status() == 200 && two.status() == 200 && same && executions == 1);
	}

	private void takeOut(EntryVm vm) throws Exception {
		long startNs = System.nanoTime();
		cli(vm, "take-out", "failure-domain", OUT_DOMAIN);
		Conditions.await("3 s after the order", () -> System.nanoTime() - startNs > OUT_AFTER_NS);
		int before = this.cluster.executionsIn(OUT_DOMAIN);
		int answered = readOnAll();
		int newWork = this.cluster.executionsIn(OUT_DOMAIN) - before;
		check("failure domain " + OUT_DOMAIN + " out",
				answered + " of " + REQUESTS_PER_STEP + " answered, new work there " + newWork,
				answered == REQUESTS_PER_STEP && newWork == 0);
	}

	private void bringBack(EntryVm vm) throws Exception {
		cli(vm, "bring-back", "failure-domain", OUT_DOMAIN);
		int before = this.cluster.executionsIn(OUT_DOMAIN);
		int[] sent = new int[2];
		Conditions.await("work in " + OUT_DOMAIN, () -> {
			sent[0] += REQUESTS_PER_STEP;
			sent[1] += readOnAll();
			return this.cluster.executionsIn(OUT_DOMAIN) > before;
		});
		check("failure domain " + OUT_DOMAIN + " back", sent[1] + " of " + sent[0] + " answered, it gets work again",
				sent[1] == sent[0]);
	}

	private void killOne(EntryVm vm) throws Exception {
		long pid = vm.pid();
		vm.kill();
		int answered = readOnAll();
		String key = "demo-push-2";
		Answer action = answer(this.cluster.request(this.cluster.vm("bog-centro-2"), ACTION, key, "label 78"));
		int executions = this.cluster.executionsOfKey(key);
		check("kill -9 " + vm.name() + " (process " + pid + ")", answered + " of " + REQUESTS_PER_STEP
				+ " answered, action " + action.status() + ", executions " + executions,
				answered == REQUESTS_PER_STEP && action.status() == 200 && executions == 1);
	}

	/**
	 * Sends reads to all VMs that run, one after the other.
	 * @return the number of whole answers to the right request
	 * @throws Exception if an answer cannot be parsed
	 */
	private int readOnAll() throws Exception {
		List<EntryVm> running = this.cluster.vms().stream().filter(EntryVm::isAlive).toList();
		int answered = 0;
		for (int number = 0; number < REQUESTS_PER_STEP; number++) {
			String input = "Explain price " + number;
			Answer answer = answer(this.cluster.request(running.get(number % running.size()), READ, null, input));
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
		check("merged time line", lines.lines().count() + " events",
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
		Path output = this.workFolder.resolve("fulmargapctl.out");
		Process process = new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(output.toFile()).start();
		if (!process.waitFor(CLI_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
			process.destroyForcibly();
			throw new IOException("timed out: " + command);
		}
		String text = Files.readString(output, StandardCharsets.UTF_8);
		if (process.exitValue() != 0) {
			throw new IOException(command + " ended with " + process.exitValue() + ": " + text);
		}
		return text;
	}

	private void check(String step, String result, boolean asPromised) {
		long nowNs = System.nanoTime();
		this.rows.add(new Row(step, result, (nowNs - this.stepStartedNs) / 1_000_000 + " ms", asPromised));
		this.stepStartedNs = nowNs;
	}

	private boolean printTable() {
		int stepWidth = this.rows.stream().mapToInt((row) -> row.step().length()).max().orElse(0);
		int resultWidth = this.rows.stream().mapToInt((row) -> row.result().length()).max().orElse(0);
		String format = "%-" + stepWidth + "s  %-" + resultWidth + "s  %9s  %s%n";
		this.out.println();
		this.out.printf(format, "step", "result", "took", "as promised");
		this.rows.forEach((row) -> this.out.printf(format, row.step(), row.result(), row.took(),
				row.asPromised() ? "yes" : "NO"));
		return this.rows.stream().allMatch(Row::asPromised);
	}

	/**
	 * One line of the table.
	 *
	 * @param step what was done
	 * @param result what happened
	 * @param took how long it took
	 * @param asPromised whether that is what fulmargap promises
	 */
	private record Row(String step, String result, String took, boolean asPromised) {
	}

}
