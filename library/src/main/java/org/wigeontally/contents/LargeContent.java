package org.wigeontally.contents;

import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

import com.google.protobuf.ByteString;

import org.wigeontally.schema.generated.ContentReference;
import org.wigeontally.weights.Digests;

/**
 * The content of a large record in the form in which entries send it to each other:
 * compressed, and named by the digest of its compressed bytes. Immutable.
 */
public final class LargeContent {

	/** Size of a value, in bytes, up to which it is sent within messages. */
	public static final int MAX_INLINE_BYTES = 16 * 1024;

	/** Size in bytes above which a value is not accepted from another entry. */
	static final int MAX_VALUE_BYTES = 16 * 1024 * 1024;

	private static final int BUFFER_BYTES = 64 * 1024;

	private final ContentReference reference;

	private final byte[] compressed;

	private final byte[] value;

	private LargeContent(ContentReference reference, byte[] compressed, byte[] value) {
		this.reference = reference;
		this.compressed = compressed;
		this.value = value;
	}

	/**
	 * Creates the content of a value.
	 * @param value the value of a record
	 * @return the content
	 */
	public static LargeContent of(byte[] value) {
		// The event loop waits meanwhile, so speed goes before size.
		Deflater deflater = new Deflater(Deflater.BEST_SPEED);
		try {
			deflater.setInput(value);
			deflater.finish();
			ByteArrayOutputStream output = new ByteArrayOutputStream(value.length / 2);
			byte[] buffer = new byte[BUFFER_BYTES];
			while (!deflater.finished()) {
				output.write(buffer, 0, deflater.deflate(buffer));
			}
			byte[] compressed = output.toByteArray();
			ContentReference reference = ContentReference.newBuilder()
				.setDigest(ByteString.copyFrom(Digests.sha256(compressed)))
				.setCompressedBytes(compressed.length)
				.setValueBytes(value.length)
				.build();
			return new LargeContent(reference, compressed, value);
		}
		finally {
			deflater.end();
		}
	}

	/**
	 * Creates the content that a reference names from its compressed bytes.
	 * @param reference the reference
	 * @param compressed the bytes that were received
	 * @return the content
	 * @throws ContentException if the bytes are not those that the reference names
	 */
	public static LargeContent received(ContentReference reference, byte[] compressed) throws ContentException {
		if (!ByteString.copyFrom(Digests.sha256(compressed)).equals(reference.getDigest())) {
			throw ContentException.of("the digest differs");
		}
		return new LargeContent(reference, compressed, decompress(compressed, reference.getValueBytes()));
	}

	private static byte[] decompress(byte[] compressed, int valueBytes) throws ContentException {
		if (valueBytes < 0 || valueBytes > MAX_VALUE_BYTES) {
			throw ContentException.of("size of " + valueBytes + " bytes");
		}
		byte[] value = new byte[valueBytes];
		Inflater inflater = new Inflater();
		try {
			inflater.setInput(compressed);
			int length = inflater.inflate(value);
			int surplus = inflater.inflate(new byte[1]);
			if (length != valueBytes || surplus != 0 || !inflater.finished()) {
				throw ContentException.of("it does not have " + valueBytes + " bytes");
			}
			return value;
		}
		catch (DataFormatException ex) {
			throw ContentException.of(String.valueOf(ex.getMessage()));
		}
		finally {
			inflater.end();
		}
	}

	public ContentReference reference() {
		return this.reference;
	}

	/**
	 * Returns the value of the record.
	 * @return the value; not to be changed
	 */
	public byte[] value() {
		return this.value;
	}

	/**
	 * Returns a part of the compressed bytes.
	 * @param offset where it begins
	 * @param maxBytes its maximum size
	 * @return the part; empty at or beyond the end
	 */
	public byte[] part(int offset, int maxBytes) {
		if (offset < 0 || offset >= this.compressed.length) {
			return new byte[0];
		}
		int length = Math.min(maxBytes, this.compressed.length - offset);
		return Arrays.copyOfRange(this.compressed, offset, offset + length);
	}

}
