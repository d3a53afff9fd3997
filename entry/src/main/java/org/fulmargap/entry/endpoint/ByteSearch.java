package org.fulmargap.entry.endpoint;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;

/**
 * Searches bytes that arrive in parts for a text, which may stand across parts.
 */
final class ByteSearch {

	private final byte[] text;

	// For each length of a match, the length of the next shorter one that ends in the
	// same place.
	private final int[] shorterMatch;

	private int matched;

	/**
	 * Creates a search.
	 * @param text the text in ISO 8859-1, not empty
	 */
	ByteSearch(String text) {
		this.text = text.getBytes(StandardCharsets.ISO_8859_1);
		this.shorterMatch = new int[this.text.length];
		for (int i = 1; i < this.text.length; i++) {
			this.shorterMatch[i] = next(this.shorterMatch[i - 1], this.text[i]);
		}
	}

	private int next(int match, byte value) {
		int length = match;
		while (length > 0 && this.text[length] != value) {
			length = this.shorterMatch[length - 1];
		}
		return (this.text[length] == value) ? length + 1 : 0;
	}

	boolean isFound() {
		return this.matched == this.text.length;
	}

	/**
	 * Searches the next part.
	 * @param content the part, which is not read
	 * @param begin the index of the first byte to look at
	 * @return the index after the text or, if it is not found yet, after the part
	 */
	int search(ByteBuf content, int begin) {
		int index = begin;
		while (!isFound() && index < content.writerIndex()) {
			this.matched = next(this.matched, content.getByte(index));
			index++;
		}
		return index;
	}

}
