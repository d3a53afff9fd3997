import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ThreadLocalRandom;

/** A connection of a caller. */
final class Caller implements AutoCloseable {

	private final Socket socket = new Socket();

	private final BufferedInputStream in;

	Caller(EntryVm vm, int timeoutMs) throws IOException {
		this.socket.connect(new InetSocketAddress(vm.ip(), vm.callerPort()), 1_000);
		this.socket.setTcpNoDelay(true);
		this.socket.setSoTimeout(timeoutMs);
		this.in = new BufferedInputStream(this.socket.getInputStream());
	}

	static String newId() {
		return "%016x".formatted(ThreadLocalRandom.current().nextLong());
	}

	/** Sends a request and reads its answer; null if the channel was closed without one. */
	Http call(String method, String path, String id, long deadlineMs, String key, String extra, byte[] body)
			throws IOException {
		String head = method + ' ' + path + " HTTP/1.1\r\nHost: desk.example\r\nX-Fulmargap-Attempt-Id: " + id
				+ "\r\nX-Fulmargap-Deadline-Ms: " + deadlineMs + "\r\nAuthorization: Token " + key + "\r\n" + extra
				+ ((body != null) ? "Content-Length: " + body.length + "\r\n" : "") + "\r\n";
		this.socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
		if (body != null) {
			this.socket.getOutputStream().write(body);
		}
		return Http.read(this.in);
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

}
