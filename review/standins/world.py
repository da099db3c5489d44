"""Stand-ins for the platform of a small deployment on loopback addresses.

World starts the project's daemons as processes, each machine with a loopback
address of its own and settings filled in from the templates of the deploy
file. The platform's store, the runners and the clients run in this process
and follow PROTOCOL.md. Everything that is sent, answered and run goes into
record.txt, with the seconds since the start of the case.
"""
import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

SITE_BOUNDS = {  # those of the two small sites
    'graceS': 6, 'configApplyMs': 2000, 'remoteFactor': 1.5, 'status_s': 120,
    'holdMaxMs': 1000, 'retransmitMs': 1300}
HEARTBEAT_S = 1.5
STOP_S = 0.02
STORE_S = 0.004
HISTORY_ROWS = 20000


class CannotRun(Exception):
    """The case could not be run."""


def render(template, fields):
    """Fills in a template of the deploy file; see DEPLOY.md."""
    def look_up(path, here):
        value = here if path == '.' else fields
        if path == '.':
            return value
        for part in path.split('.'):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    def fill(text, here, last):
        def section(match):
            value = look_up(match[1], here)
            if value in (None, False):
                return ''
            items = value if isinstance(value, list) else [value]
            return ''.join(fill(match[2], item, i == len(items) - 1) for i, item in enumerate(items))
        text = re.sub(r'\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}', section, text, flags=re.S)
        text = text.replace('{{,}}', '' if last else ',')
        return re.sub(r'\{\{([\w.]+)\}\}', lambda m: str(look_up(m[1], here)), text)
    return fill(template, None, True)


class HttpServer:
    """HTTP/1.1 with connections that are kept open. handle(method, path,
    headers, body) returns (status, object), or None to give no answer."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.writers = set()

    async def listen(self, host, port):
        self.server = await asyncio.start_server(self.serve, host, port, backlog=256)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                lines = head.decode('latin1').split('\r\n')
                method, target, _ = lines[0].split(' ', 2)
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(':')
                    headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get('content-length', 0)))
                answer = await self.handle(method, target, headers, body)
                if answer is None:
                    await asyncio.sleep(30)
                    break
                status, value = answer
                text = json.dumps(value).encode()
                writer.write(b'HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n'
                             % (status, len(text)) + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def close(self):
        """Closes the listener and resets what is open."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()


class Store:
    """The platform's store; no page names a disruption that it draws by
    itself. hold_write(body) may return the seconds after which a write is
    performed without an answer."""

    def __init__(self, world):
        self.world = world
        self.rows = {}
        self.version = 0
        self.history = []
        self.changed = asyncio.Event()
        self.hold_write = lambda entries: None
        self.http = HttpServer(self.handle)

    def commit(self, call):
        def key(row):
            return row['table'], row.get('part', ''), row['key']
        current = []
        failed = False
        for row in call.get('expectedRev', []):
            have = self.rows.get(key(row))
            failed |= (have['ver'] if have else 0) != row.get('ver', 0)
            if have:
                current.append(have)
        if failed:
            return 412, {'rows': current, 'ver': self.version, 'nowMs': self.world.now_ms()}
        self.version += 1
        for row in call.get('setKeys', []):
            new = {'table': row['table'], 'part': row.get('part', ''), 'key': row['key'],
                   'value': row.get('value', ''), 'ver': self.version}
            self.rows[key(row)] = new
            self.history.append(new)
        for row in call.get('remove', []):
            if self.rows.pop(key(row), None):
                self.history.append({'table': row['table'], 'part': row.get('part', ''), 'key': row['key'],
                                     'ver': self.version, 'removed': True})
        self.changed.set()
        self.changed = asyncio.Event()
        return 200, {'ver': self.version, 'nowMs': self.world.now_ms()}

    def records(self):
        """The system's own rows, with their values in plain text."""
        return [(r['table'], r['key'], base64.b64decode(r['value']).decode('utf-8', 'replace'))
                for r in self.rows.values() if r['table'] not in ('op', 'servers')]

    async def feed(self, query):
        after, wait_s = int(query['after']), int(query.get('waitMs', 0)) / 1000
        end = time.monotonic() + wait_s
        while True:
            rows = [r for r in self.history if r['ver'] > after and r['table'] == query['table']]
            left = end - time.monotonic()
            if rows or left <= 0:
                return 200, {'rows': rows, 'ver': self.version, 'nowMs': self.world.now_ms()}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def handle(self, method, target, headers, body):
        path, _, text = target.partition('?')
        query = dict(urllib.parse.parse_qsl(text, keep_blank_values=True))
        if path == '/v1/rows-tx':
            call = json.loads(body)
            late = self.hold_write(call)
            if late is not None:
                asyncio.get_running_loop().call_later(late, self.commit_late, call)
                return None
            await asyncio.sleep(STORE_S)
            return self.commit(call)
        if path == '/v1/rows-feed':
            return await self.feed(query)
        if path == '/v1/rows-parts':
            parts = sorted({k[1] for k in self.rows if k[0] == query['table']})
            return 200, {'parts': [p for p in parts if p > query.get('after', '')], 'hasMore': False}
        if path != '/v1/rows-get':
            return 404, {}
        await asyncio.sleep(STORE_S)
        rows = sorted((r for k, r in self.rows.items() if k[:2] == (query['table'], query.get('part', ''))
                       and k[2] >= query.get('from', '')
                       and ('target' not in query or k[2] < query['target'])), key=lambda r: r['key'].encode())
        limit = min(int(query.get('limit') or 500), 500)
        return 200, {'rows': rows[:limit], 'hasMore': len(rows) > limit, 'ver': self.version,
                     'nowMs': self.world.now_ms()}

    def commit_late(self, call):
        status, _ = self.commit(call)
        self.world.note(f'store: a write held up is performed: {status}')

    def put(self, table, key, value):
        self.commit({'setKeys': [{'table': table, 'part': '', 'key': key,
                                  'value': base64.b64encode(json.dumps(value).encode()).decode()}]})


class Run:
    def __init__(self, task, number, began):
        self.task, self.number, self.began = task, number, began
        self.timer = None


class Runner:
    """A runner of the platform, beside the agent of its machine. late(path)
    may return the seconds after which an order is carried out, unanswered."""

    def __init__(self, world, name, host, port, report_to, labels, service='work', cpu=16000):
        self.world, self.name, self.host, self.port = world, name, host, port
        self.report_to, self.labels, self.service, self.cpu = report_to, labels, service, cpu
        self.id = 'i-' + name
        self.lives = 0
        self.up = False
        self.late = lambda path: None
        self.http = None
        self.begin()

    def begin(self):
        self.lives += 1
        self.born_ms = int(time.time() * 1000)
        self.born = time.monotonic()
        self.until_ms = self.fence = self.end_count = self.seq = 0
        self.runs, self.ended, self.highest = {}, [], {}
        self.lapses = []  # times at which the lease has lapsed
        self.ended_event = asyncio.Event()

    def clock_ms(self):
        return int((time.monotonic() - self.born) * 1000)

    async def start(self):
        self.begin()
        self.http = HttpServer(self.handle)
        await self.http.listen(self.host, self.port)
        self.up = True
        self.world.note(f'runner {self.name}: up, life {self.lives}, id {self.id}')
        self.tasks = [asyncio.create_task(self.report()), asyncio.create_task(self.watch_lease())]

    def crash(self):
        """Ends at once; nothing that ran or was known is left."""
        self.up = False
        self.http.close()
        for task in self.tasks:
            task.cancel()
        for run in self.runs.values():
            run.timer.cancel()
            self.world.ended(self, run, 'crashed')
        self.runs = {}
        self.world.note(f'runner {self.name}: crashes')

    async def report(self):
        while True:
            self.seq += 1
            body = {'service': self.service, 'address': f'{self.host}:{self.port}', 'zone': 'z',
                    'version': 'v1', 'slots': 8, 'state': 'ready', 'coldRemainingMs': 0,
                    'capacity': {'cpu': self.cpu, 'memMb': 32768, 'gpu': 0}, 'labels': self.labels,
                    'clockMs': self.clock_ms(), 'seq': self.seq, 'born': self.born_ms}
            try:
                await self.world.call(self.report_to, 'PUT', f'/v1/instances/{self.id}', body, 1.0)
                pause = HEARTBEAT_S
            except OSError:
                pause = 0.3  # the agent is not there
            await asyncio.sleep(pause)

    async def watch_lease(self):
        held = False
        while True:
            await asyncio.sleep(0.005)
            lapsed = self.clock_ms() >= self.until_ms
            if lapsed and held:
                self.lapses.append(time.monotonic())
            held = not lapsed
            for run in list(self.runs.values()) if lapsed else []:
                self.end(run, 'lapsed')

    def end(self, run, how):
        run.timer.cancel()
        del self.runs[run.task]
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
        self.end_count += 1
        self.ended.append([self.end_count, run.task, run.number, how, ''])
        self.world.ended(self, run, how)
        self.ended_event.set()

    def answer(self, status, **fields):
        return status, {'clockMs': self.clock_ms(), 'born': self.born_ms, **fields}

    def lists(self):
        return self.answer(200, running=[[r.task, r.number, '', 50, 0] for r in self.runs.values()],
                           ended=self.ended[:500])

    async def handle(self, method, target, headers, body):
        life = self.lives
        if method == 'GET':
            return 200, {}
        order = json.loads(body)
        expected = headers.get('x-expect-instance')
        late = self.late(target)
        if late is not None:
            self.world.note(f'runner {self.name}: {target} {order.get("task", "")} held up for {late:.2f} s')
            asyncio.get_running_loop().call_later(late, self.carry_out_late, target, order, expected)
            return None
        if expected and expected != self.id:
            return self.answer(421)
        if target != '/v1/hold':
            return self.carry_out(target, order)
        return await self.hold(order, life)

    def carry_out_late(self, target, order, expected):
        if not self.up or (expected and expected != self.id):
            self.world.note(f'runner {self.name}: late {target} meets no runner of that id')
            return
        if target == '/v1/hold':
            return
        status, fields = self.carry_out(target, order)
        self.world.note(f'runner {self.name}: late {target} {order.get("task")} run {order.get("run")} '
                        f'carried out: {status} {fields.get("reason", "")}')

    def take_lease(self, order):
        if 'untilMs' in order:
            self.until_ms = max(self.until_ms, min(order['untilMs'], self.clock_ms() + 1000))

    def carry_out(self, target, order):
        if order.get('fence', 0) < self.fence:
            return self.answer(409, reason='fence')
        self.fence = order.get('fence', 0)
        task, number = order['task'], order['run']
        if target == '/v1/run-stop':
            run = self.runs.get(task)
            self.highest[task] = max(self.highest.get(task, 0), number)
            if run and run.number <= number:
                self.end(run, 'stopped')
            return self.answer(200)
        if target != '/v1/run-start':
            return self.answer(400)
        self.take_lease(order)
        run = self.runs.get(task)
        if run and run.number == number:
            return self.answer(200)
        if run or number <= self.highest.get(task, 0):
            return self.answer(409, reason='old')
        if order.get('untilMs', 0) <= self.clock_ms():
            return self.answer(409, reason='late')
        needs = self.world.needs(task)
        if sum(self.world.needs(t) for t in self.runs) + needs > self.cpu:
            return self.answer(409, reason='room')
        run = self.runs[task] = Run(task, number, time.monotonic())
        self.world.began(self, run)
        run.timer = asyncio.get_running_loop().call_later(
            self.world.work_s(task, order.get('spec', '')), lambda: self.runs.get(task) is run and self.end(run, 'done'))
        return self.answer(200)

    async def hold(self, order, life):
        if order.get('fence', 0) < self.fence:
            return self.answer(409, reason='fence')
        self.fence = order.get('fence', 0)
        self.take_lease(order)
        for end in [e for e in self.ended if e[0] <= order.get('lastSeen', 0)]:
            self.world.noted(self, end)
        self.ended = [e for e in self.ended if e[0] > order.get('lastSeen', 0)]
        wait_s = order.get('waitMs', 0) / 1000
        if wait_s and not self.ended:
            self.ended_event.clear()
            try:
                await asyncio.wait_for(self.ended_event.wait(), wait_s)
            except asyncio.TimeoutError:
                pass
        return self.lists() if life == self.lives and self.up else None


class World:
    def __init__(self, folder):
        self.folder = folder
        self.trouble = os.environ.get('TROUBLE', '1') != '0'
        self.start_time = time.monotonic()
        self.lines = []
        self.temp = tempfile.mkdtemp(prefix='masticstall-review-')
        self.processes = {}
        self.commands = {}
        self.runners = {}
        self.store = None
        self.jobs = {}       # id -> (body, work in seconds)
        self.runs = []       # [task, number, runner, began, ended or None, how]
        self.net = random.randrange(1, 250), random.randrange(1, 250)
        self.port = random.randrange(12000, 28000, 16)
        with open('deploy/system.toml', 'rb') as file:
            self.deploy = tomllib.load(file)
        for role in self.deploy['roles'].values():
            if not os.access(role['run'].split()[0], os.X_OK):
                raise CannotRun('not built: ' + role['run'].split()[0])

    # Record

    def now(self):
        return time.monotonic() - self.start_time

    def now_ms(self):
        return int(self.now() * 1000) + 1000

    def note(self, text):
        self.lines.append(f'{self.now():8.3f} {text}')

    def began(self, runner, run):
        self.runs.append([run.task, run.number, runner.name, time.monotonic(), None, '', runner])
        self.note(f'run  begins {run.task} run {run.number} on {runner.name}')

    def ended(self, runner, run, how):
        for entry in reversed(self.runs):
            if entry[0] == run.task and entry[1] == run.number and entry[2] == runner.name and entry[4] is None:
                entry[4], entry[5] = time.monotonic(), how
                break
        self.note(f'run  ends   {run.task} run {run.number} on {runner.name}: {how}')

    def noted(self, runner, end):
        self.note(f'end  noted  {end[1]} run {end[2]} on {runner.name}: {end[3]}')

    def needs(self, task):
        job = self.jobs.get(task.split('.')[0])
        return job[0]['steps'][int(task.split('.')[2])].get('cpu', 0) if job else 1000

    def work_s(self, task, spec):
        job = self.jobs.get(task.split('.')[0])
        return job[1] if job else 1.0

    # Machines

    def host(self, number):
        return f'127.{self.net[0]}.{self.net[1]}.{number}'

    async def start_store(self):
        self.store = Store(self)
        await self.store.http.listen(self.host(1), self.port)

    def configure(self, routes, version=9):
        self.store.put('op', 'config', {'version': version, 'routes': routes, 'services': [
            {'name': 'work', 'admissionControl': True}], 'limits': {}})

    def add_machine(self, role, name, number, entries, zone):
        fields = {'node': name, 'zone': zone, 'ip': self.host(number),
                  'portRange': [self.port, self.port + 9],
                  'seeds': [f'{self.host(n)}:{self.port + 12}' for n in entries],
                  'app': f'{self.host(number)}:{self.port + 13}',
                  'listen': {'front': f'{self.host(number)}:{self.port + 10}',
                             'ready': f'{self.host(number)}:{self.port + 11}',
                             'control': f'{self.host(number)}:{self.port + 12}'},
                  'bounds': SITE_BOUNDS,
                  'platform': {'address': f'{self.host(1)}:{self.port}'}}
        path = os.path.join(self.temp, name + '.json')
        with open(self.deploy['roles'][role]['template'], encoding='utf-8') as file:
            text = render(file.read(), fields)
        # The operators' address has a fixed port in the template.
        text = text.replace(f'"{self.host(number)}:9300"', f'"{self.host(number)}:{self.port + 14}"')
        with open(path, 'w', encoding='utf-8') as file:
            file.write(text)
        program = self.deploy['roles'][role]['run'].split()[0]
        self.commands[name] = [program, '--settings', path]
        return fields

    def start(self, name):
        log = open(os.path.join(self.temp, name + '.log'), 'ab')
        self.processes[name] = subprocess.Popen(self.commands[name], stdout=log, stderr=log)
        log.close()
        self.note(f'{name}: started')

    def signal(self, name, number):
        self.note(f'{name}: {signal.Signals(number).name}')
        self.processes[name].send_signal(number)
        if number == signal.SIGKILL:
            self.processes[name].wait()

    async def start_all(self, entry_count, labels_of_runners):
        """Starts the store, entries and runners with their agents."""
        await self.start_store()
        entries = [10 + i for i in range(entry_count)]
        for i, number in enumerate(entries):
            self.add_machine('entry', f'entry{i + 1}', number, entries[:3], f'z{i + 1}')
        for i, labels in enumerate(labels_of_runners):
            fields = self.add_machine('agent', f'agent{i + 1}', 30 + i, entries[:3], f'z{i % entry_count + 1}')
            self.runners[f'r{i + 1}'] = Runner(
                self, f'r{i + 1}', self.host(30 + i), self.port + 13, fields['listen']['control'], labels)
        for name in self.commands:
            self.start(name)
        for runner in self.runners.values():
            await runner.start()

    def front(self, number):
        return f'{self.host(9 + number)}:{self.port + 10}'

    async def wait_ready(self, entry_count, limit_s=15):
        end = time.monotonic() + limit_s
        for number in range(1, entry_count + 1):
            while time.monotonic() < end:
                try:
                    status, _ = await self.call(f'{self.host(9 + number)}:{self.port + 11}', 'GET',
                                                '/v1/readiness', None, 1)
                    if status == 200:
                        break
                except OSError:
                    pass
                await asyncio.sleep(0.1)
            else:
                raise CannotRun(f'entry{number} does not become ready')

    # Clients

    async def call(self, address, method, path, body, limit_s, headers=()):
        """One request on a connection of its own. Raises OSError without an
        answer."""
        host, port = address.split(':')

        async def exchange():
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                text = b'' if body is None else json.dumps(body).encode()
                lines = [f'{method} {path} HTTP/1.1', 'Connection: close',
                         'Content-Type: application/json', f'Content-Length: {len(text)}', *headers]
                if not any(h.lower().startswith('host:') for h in headers):
                    lines.append(f'Host: {address}')
                writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + text)
                await writer.drain()
                head = (await reader.readuntil(b'\r\n\r\n')).decode('latin1')
                length = re.search(r'(?i)content-length: *(\d+)', head)
                if re.search(r'(?i)transfer-encoding: *chunked', head):
                    answer = b''
                    while size := int(await reader.readuntil(b'\r\n'), 16):
                        answer += await reader.readexactly(size)
                        await reader.readexactly(2)
                else:
                    answer = await (reader.readexactly(int(length[1])) if length else reader.read())
                return int(head.split(' ', 2)[1]), answer.decode('utf-8', 'replace')
            finally:
                writer.close()
        try:
            return await asyncio.wait_for(exchange(), limit_s)
        except (asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            raise OSError('no answer') from error

    async def ask(self, entry, method, path, body=None, limit_s=4.0):
        """A client's request, recorded. Returns (status or 0, text)."""
        began = self.now()
        try:
            status, text = await self.call(self.front(entry), method, path, body, limit_s,
                                           ('Host: a.example', f'X-Deadline-Ms: {int(limit_s * 1000)}'))
        except OSError as error:
            status, text = 0, str(error)
        self.note(f'client {method} {path} at entry{entry}, sent {began:.3f}: {status or "no answer"} {text}')
        return status, text

    async def submit(self, entry, path, job_id, steps, work_s, limit_s=4.0, **options):
        body = {'spec': f'work {job_id}', 'steps': steps, **options}
        self.jobs[job_id] = (body, work_s)
        return await self.ask(entry, 'POST', f'{path}{job_id}', body, limit_s)

    async def state(self, entry, path, job_id):
        status, text = await self.ask(entry, 'GET', f'{path}{job_id}', None)
        try:
            return status, json.loads(text).get('state') if status == 200 else None
        except ValueError:
            return status, None

    # End

    def close(self):
        for name, process in self.processes.items():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for runner in self.runners.values():
            if runner.http:
                runner.http.close()
        if self.store:
            self.store.http.close()

    def write_record(self, verdict):
        with open(os.path.join(self.folder, 'record.txt'), 'w', encoding='utf-8') as file:
            file.write('\n'.join(self.lines) + f'\nverdict: {verdict}\n')
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            shutil.copytree(self.temp, keep, dirs_exist_ok=True)
        shutil.rmtree(self.temp, ignore_errors=True)


def overlaps(runs):
    """Pairs of runs of one task that were at work at the same time on runners
    that are up."""
    found = []
    for i, a in enumerate(runs):
        for b in runs[i + 1:]:
            if a[0] == b[0] and b[3] < (a[4] or float('inf')) and a[3] < (b[4] or float('inf')):
                found.append((a, b))
    return found


async def play(case, folder):
    world = None

    def stop():
        world.close()
        os._exit(2)
    try:
        world = World(folder)
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, stop)
        broken = await asyncio.wait_for(case(world), 115)
        verdict, code = ('broken: ' + '; '.join(broken), 1) if broken else ('held', 0)
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        verdict, code = f'could not be run: {error or type(error).__name__}', 2
    except Exception as error:
        verdict, code = f'could not be run: {error!r}', 2
    finally:
        if world:
            world.close()
    if world:
        world.write_record(verdict)
    # What the stand-ins still wait for needs no end of its own.
    print(verdict, flush=True)
    os._exit(code)


def main(case):
    """Runs case(world), which returns a list of what broke the rule. Exits
    with 1 if there is something in it, with 0 if not, with 2 if the case could
    not be run."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    asyncio.run(play(case, folder))
