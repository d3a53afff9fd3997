package org.fulmargap.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * SHA-256 digests in hexadecimal.
 */
final class Digests {

	private Digests() {
	}

	/**
	 * Computes the digest of several parts. Each part is preceded by its length, so that
	 * different lists of parts never yield the same input of the digest.
	 * @param parts the parts, in order
	 * @return 64 lower-case hexadecimal digits
	 */
	static String sha256OfParts(byte[]... parts) {
		MessageDigest digest = digest();
		for (byte[] part : parts) {
			digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(part.length).array());
			digest.update(part);
		}
		return HexFormat.of().formatHex(digest.digest());
	}

	static String sha256(byte[] bytes) {
		return HexFormat.of().formatHex(digest().digest(bytes));
	}

	static byte[] utf8(String text) {
		return text.getBytes(StandardCharsets.UTF_8);
	}

	private static MessageDigest digest() {
		try {
			return MessageDigest.getInstance("SHA-256");
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("every Java platform has SHA-256", ex);
		}
	}

}
