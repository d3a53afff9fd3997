import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;

/** The record of a run: one line for each thing that was sent, answered or run. */
final class Record implements AutoCloseable {

	private final PrintWriter out;

	private final long startedAtMs = EntryVm.now();

	Record(Path file) throws IOException {
		this.out = new PrintWriter(file.toFile());
	}

	synchronized void line(String text) {
		this.out.printf("%7.2f %s%n", (EntryVm.now() - this.startedAtMs) / 1_000.0, text);
		this.out.flush();
	}

	@Override
	public void close() {
		this.out.close();
	}

}
