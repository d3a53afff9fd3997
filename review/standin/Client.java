import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A channel of a client. */
final class Client implements AutoCloseable {

	private static final int CONNECT_TIMEOUT_MS = 1_000;

	private static final int READ_TIMEOUT_MS = 30_000;

	final Socket socket = new Socket();

	final InputStream in;

	Client(InetSocketAddress address, int receiveBytes) throws IOException {
		if (receiveBytes > 0) {
			this.socket.setReceiveBufferSize(receiveBytes);
		}
		this.socket.setTcpNoDelay(true);
		this.socket.setSoTimeout(READ_TIMEOUT_MS);
		this.socket.connect(address, CONNECT_TIMEOUT_MS);
		this.in = new BufferedInputStream(this.socket.getInputStream());
	}

	/** Returns the head of a request as a sound client sends it. */
	static String head(String method, String path, String attempt, long timeLeftMs, long bodyBytes, String more) {
		return method + ' ' + path + " HTTP/1.1\r\nHost: desk.example\r\nX-Fulmargap-Attempt-Id: " + attempt
				+ "\r\nX-Fulmargap-Deadline-Ms: " + timeLeftMs + "\r\nAuthorization: Token key-1\r\n" + more
				+ ((method.equals("POST")) ? "Content-Length: " + bodyBytes + "\r\n" : "") + "\r\n";
	}

	void send(String text) throws IOException {
		send(text.getBytes(StandardCharsets.ISO_8859_1));
	}

	void send(byte[] bytes) throws IOException {
		this.socket.getOutputStream().write(bytes);
		this.socket.getOutputStream().flush();
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

}
