/** When a repeated work begins, how long it rests between two turns, and when it is over. */
export interface Repetition {
  readonly firstAfter: number;
  readonly period: number;
  readonly isOver: () => boolean;
}

/** Does a work again and again, never two turns at once. */
export const repeat = ({ firstAfter, period, isOver }: Repetition, work: () => Promise<void>): void => {
  const turn = async (): Promise<void> => {
    if (isOver()) return;
    await work();
    setTimeout(() => void turn(), period).unref();
  };
  setTimeout(() => void turn(), firstAfter).unref();
};
