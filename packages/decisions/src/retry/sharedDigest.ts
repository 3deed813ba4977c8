/** First character of the digest of content that different requests share; other digests are hexadecimal. */
const SHARED_MARK = '+';

/** Characters that follow the mark, each of six bits; they identify the content. */
const SHARED_LENGTH = 11;

/**
 * Gets the digest of content that different requests share, such as a part of a prompt.
 *
 * @param hash - Base64url hash of the content.
 * @returns The digest, which is never equal to that of a whole request.
 */
export function toSharedDigest(hash: string): string {
  return `${SHARED_MARK}${hash.slice(0, SHARED_LENGTH)}`;
}

/** Tells whether a digest is of content that different requests share. */
export function isSharedDigest(digest: string): boolean {
  return digest.startsWith(SHARED_MARK);
}
