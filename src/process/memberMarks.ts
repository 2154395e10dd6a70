import type { Member } from './members.js';

const BUCKETS = 32;
const MARK_BYTES = 4;
const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** The 32-bit FNV-1a hash of a text. */
const hashOf = (text: string): number => {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  return hash >>> 0;
};
const bucketOf = ({ role, name }: Member): number => hashOf(`${role}/${name}`) % BUCKETS;
const stateOf = ({ role, name, boot, life }: Member): number => hashOf(`${role}/${name}/${boot}/${life}`);

/**
 * Marks of a member table by buckets, kept while it changes: two tables that hold the same members have the same marks, and
 * where they differ only the members of unlike buckets need be told. Members that are gone are no part of it.
 */
export class MemberMarks {
  private readonly marks = new Uint32Array(BUCKETS);

  /** The member is in the table now, or no longer. */
  toggle(member: Member): void {
    if (member.state === 'gone') return;
    const bucket = bucketOf(member);
    this.marks[bucket] = ((this.marks[bucket] ?? 0) ^ stateOf(member)) >>> 0;
  }

  text(): string {
    return Buffer.from(this.marks.buffer).toString('base64url');
  }

  /** Whether a member lies in a bucket whose mark differs from another table's; all do when those can't be read. */
  unlike(other: string): (member: Member) => boolean {
    const bytes = Buffer.from(other, 'base64url');
    if (bytes.length !== BUCKETS * MARK_BYTES) return () => true;
    const theirs = new Uint32Array(BUCKETS);
    Buffer.from(theirs.buffer).set(bytes);
    return (member) => {
      const bucket = bucketOf(member);
      return theirs[bucket] !== this.marks[bucket];
    };
  }
}
