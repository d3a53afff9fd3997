import java.io.IOException;
import java.io.OutputStream;

/** A plain server with the slots of the site's order service. */
final class DeskServer extends Server {

	private static final int SLOTS = 6;

	private final long workMs;

	DeskServer(String id, long workMs, Record record) throws IOException {
		super(id, "desk", SLOTS, record);
		this.workMs = workMs;
	}

	@Override
	void run(Message request, String attempt, OutputStream out) throws IOException, InterruptedException {
		Thread.sleep(this.workMs);
		super.run(request, attempt, out);
	}

}
