import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

/**
 * Has the runtime collect memory that is of no use any more. The bytes of buffers lie outside its heap, and it waits for
 * tens of megabytes of them before it collects by itself: more than a small machine has. Made ready at its first use.
 */
export const memoryCollector = (): (() => void) => {
  let collect: (() => void) | null = null;
  return () => {
    if (collect === null) {
      setFlagsFromString('--expose-gc');
      collect = runInNewContext('gc') as () => void;
    }
    collect();
  };
};
