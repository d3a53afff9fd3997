import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** An HTTP/1.1 request or answer, read from a socket. */
final class Message {

	final String firstLine;

	final Map<String, String> headers;

	final byte[] body;

	private Message(String firstLine, Map<String, String> headers, byte[] body) {
		this.firstLine = firstLine;
		this.headers = headers;
		this.body = body;
	}

	int status() {
		return Integer.parseInt(this.firstLine.split(" ")[1]);
	}

	String header(String name) {
		return this.headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
	}

	/**
	 * Reads a message. Returns null if the connection ends before its first byte; throws
	 * EOFException if it ends inside the message.
	 */
	static Message read(InputStream in) throws IOException {
		String line = line(in);
		if (line == null) {
			return null;
		}
		Map<String, String> headers = new TreeMap<>();
		for (String header = line(in); !"".equals(header); header = line(in)) {
			if (header == null) {
				throw new EOFException("the connection ends in the head");
			}
			int colon = header.indexOf(':');
			headers.put(header.substring(0, colon).toLowerCase(Locale.ROOT), header.substring(colon + 1).trim());
		}
		return new Message(line, headers, body(in, headers));
	}

	private static byte[] body(InputStream in, Map<String, String> headers) throws IOException {
		if (headers.getOrDefault("transfer-encoding", "").equals("chunked")) {
			ByteArrayOutputStream body = new ByteArrayOutputStream();
			while (true) {
				String size = line(in);
				if (size == null) {
					throw new EOFException("the connection ends before a chunk");
				}
				byte[] chunk = exactly(in, Integer.parseInt(size.trim(), 16));
				if (line(in) == null) {
					throw new EOFException("the connection ends after a chunk");
				}
				if (chunk.length == 0) {
					return body.toByteArray();
				}
				body.write(chunk);
			}
		}
		return exactly(in, Integer.parseInt(headers.getOrDefault("content-length", "0")));
	}

	private static byte[] exactly(InputStream in, int length) throws IOException {
		byte[] bytes = in.readNBytes(length);
		if (bytes.length < length) {
			throw new EOFException("the body ends after " + bytes.length + " of " + length + " bytes");
		}
		return bytes;
	}

	private static String line(InputStream in) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		for (int next = in.read(); next >= 0; next = in.read()) {
			if (next == '\n') {
				String text = line.toString(StandardCharsets.ISO_8859_1);
				return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
			}
			line.write(next);
		}
		if (line.size() > 0) {
			throw new EOFException("the connection ends in a line");
		}
		return null;
	}

}
