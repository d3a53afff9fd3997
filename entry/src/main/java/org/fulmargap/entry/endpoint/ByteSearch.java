package org.fulmargap.entry.endpoint;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;

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
	 * Returns whether the text, or its start at the end of the last part, goes on in what
	 * follows.
	 * @param next the bytes behind the last part, which are not read
	 * @return the index after the text, or -1 if it neither is found nor goes on there
	 */
	int endIn(ByteBuf next) {
		if (isFound()) {
			return next.readerIndex();
		}
		if (this.matched == 0) {
			return -1;
		}
		int rest = this.text.length - this.matched;
		boolean goesOn = next.readableBytes() >= rest
				&& ByteBufUtil.equals(next, next.readerIndex(), Unpooled.wrappedBuffer(this.text), this.matched, rest);
		return (goesOn) ? next.readerIndex() + rest : -1;
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
