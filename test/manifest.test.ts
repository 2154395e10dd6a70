import * as assert from 'uvu/assert';
import { Manifest } from '../src/version/manifest.js';
import { Matcher } from '../src/version/matcher.js';
import { suite } from './harness.js';

const { test, run } = suite('manifest');

const good = {
  services: [{ name: 'line' }, { name: 'port' }],
  bindings: [
    { id: 'all', service: 'line', prefix: '/' },
    { id: 'ports', service: 'port', prefix: '/port' },
    { id: 'donors', service: 'line', prefix: '/port/donor', methods: ['GET'] },
    { id: 'partner', service: 'port', host: 'partner.example', prefix: '/' },
  ],
};
const target = (url: string, method = 'GET', host = 'any.example'): { host: string; method: string; url: string } => ({ host, method, url });

test('every fault is reported with its path and reason', () => {
  const faults = Manifest.check({
    services: [{ name: 'line' }, { name: 'line' }],
    bindings: [
      { id: 'a', service: 'nowhere', prefix: '/x' },
      { id: 'a', service: 'line', prefix: '/x/', methods: ['GET'] },
      { id: 'b', service: 'line', prefix: '/y', methods: ['GET'], repeatable: ['POST'] },
    ],
  })._unsafeUnwrapErr().faults;
  assert.equal(faults.map((fault) => fault.path), ['services[1].name', 'bindings[0].service', 'bindings[1].id', 'bindings[1].prefix', 'bindings[2].repeatable']);
  const shapeFaults = Manifest.check({ services: 'line', bindings: [{ id: 'a', service: 'line', prefix: '/a/../b', cutoffMs: -1, colour: 'red' }] })._unsafeUnwrapErr().faults;
  assert.equal(shapeFaults.map((fault) => fault.path).sort(), ['bindings[0].colour', 'bindings[0].cutoffMs', 'bindings[0].prefix', 'services']);
  assert.ok(shapeFaults.every((fault) => fault.reason.length > 0));
});

test('the longest prefix on segment borders wins, a named host before all', () => {
  const matcher = new Matcher(Manifest.check(good)._unsafeUnwrap());
  const idOf = (url: string, method?: string, host?: string): string => matcher.match(target(url, method, host)).match((binding) => binding.id, (defect) => defect.kind);
  assert.is(idOf('/port/donor/7?x=/..'), 'donors');
  assert.is(idOf('/port/donor/7', 'POST'), 'ports');
  assert.is(idOf('/portal'), 'all');
  assert.is(idOf('/p%6Frt/1'), 'ports');
  assert.is(idOf('/port/donor', 'GET', 'Partner.example:80'), 'partner');
  assert.is(idOf('/', 'TRACE'), 'no-binding');
});

/** An operator's caller waits a second for an answer, so checking and matching may take no more. */
const ANSWER_MS = 1000;
const within = <T>(work: () => T): T => {
  const start = performance.now();
  const outcome = work();
  assert.ok(performance.now() - start < ANSWER_MS, `${Math.round(performance.now() - start)} ms`);
  return outcome;
};
const withPrefixes = (...prefixes: readonly string[]): object => ({ services: [{ name: 'line' }], bindings: prefixes.map((prefix, index) => ({ id: `b${index}`, service: 'line', prefix })) });

// Guards against a prefix whose check takes time exponential in its length, which stopped every directory.
test('the check of a prefix takes a time linear in its length, whatever stands in it', () => {
  for (const end of ['%', '%C3%B3', '%zz', ' ', '\u00e9', '{', '/', '//', '/..', '%2F', '']) {
    for (const filling of ['a', 'a/', '%41', '.']) {
      const prefix = `/${filling.repeat(Math.floor(1000 / filling.length))}${end}/`;
      within(() => Manifest.check(withPrefixes(prefix)));
    }
  }
  within(() => Manifest.check(withPrefixes(`/${'a'.repeat(1_000_000)}%`)));
});

test('a prefix may hold percent-encoded characters; it is compared by what they stand for', () => {
  const manifest = Manifest.check(withPrefixes('/aprobaci%C3%B3n/', '/%41%42/c', '/x%20y/', '/'))._unsafeUnwrap();
  const matcher = new Matcher(manifest);
  const idOf = (url: string): string => matcher.match(target(url)).match((binding) => binding.id, (defect) => defect.kind);
  assert.equal(['/aprobaci%C3%B3n/1', '/aprobaci%c3%b3n/1', '/aprobaci%C3%B3n', '/AB/c', '/%41B/c/d', '/x%20y/1', '/x+y/1'].map(idOf), ['b0', 'b0', 'b3', 'b1', 'b1', 'b2', 'b3']);
});

test('a prefix that no request could match, or that another already stands for, is refused with its path', () => {
  for (const prefix of ['', 'a/', '/a//b/', '/./a/', '/a/../b', '/%2e%2E/', '/a%2Fb/', '/a%5Cb/', '/a%00/', '/a%/', '/a%4/', '/a%zz/', '/%ff/', '/a b/', '/a?b/', '/a#b/', '/a{b}/', '/a\\b/', '/\u00f3/']) {
    const faults = Manifest.check(withPrefixes(prefix)).match(() => [], (defect) => defect.faults.map((fault) => fault.path));
    assert.equal(faults, ['bindings[0].prefix'], prefix);
  }
  const twice = Manifest.check(withPrefixes('/ab/', '/a%62'))._unsafeUnwrapErr();
  assert.equal(twice.faults.slice(0, 1).map((fault) => fault.path), ['bindings[1].prefix']);
});

test('paths that can be read in two ways are turned away', () => {
  const matcher = new Matcher(Manifest.check(good)._unsafeUnwrap());
  for (const url of ['/port/../x', '/port/%2e%2E/x', '/port%2Fdonor', '/port%5cdonor', '/a\\b', '/%zz', 'http://x/port', '*']) {
    assert.is(matcher.match(target(url)).match((binding) => binding.id as string, (defect) => defect.kind), 'doubtful-path', url);
  }
});

test('of a long manifest the first fault alone is reported, and a list that is too long before its entries', () => {
  const faultsOf = (count: number): readonly string[] => Manifest.check({ services: [], bindings: Array.from({ length: count }, () => ({})) })._unsafeUnwrapErr().faults.map(({ path }) => path);
  assert.ok(faultsOf(100).length >= 200, 'each fault of a short one');
  assert.is(faultsOf(20_000).length, 1);
  assert.equal(faultsOf(20_001), ['bindings']);
});

run();
