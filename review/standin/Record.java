import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;

/** The record of a case: what was sent, answered and run, with times since the start. */
final class Record implements AutoCloseable {

	private final PrintWriter out;

	private final long startedAt = System.nanoTime();

	private final Map<String, Integer> runs = new TreeMap<>();

	Record(Path file) throws IOException {
		this.out = new PrintWriter(Files.newBufferedWriter(file), true);
	}

	long nowMs() {
		return (System.nanoTime() - this.startedAt) / 1_000_000;
	}

	synchronized void write(String line) {
		this.out.printf("%8.3f s  %s%n", (System.nanoTime() - this.startedAt) / 1e9, line);
	}

	synchronized void ran(String attempt, String server) {
		this.runs.merge(attempt, 1, Integer::sum);
		write("server " + server + " runs " + attempt);
	}

	synchronized int runs(String attempt) {
		return this.runs.getOrDefault(attempt, 0);
	}

	@Override
	public void close() {
		this.out.close();
	}

}
