"""Tests of parsing, changing and storing sheets."""

import asyncio
import datetime
import zoneinfo

import hypothesis
from hypothesis import strategies
from returns import pipeline

from tamarackpier import codes
from tamarackpier.sheet import change, codec, model, parse, store
from tamarackpier.standin import memory
from tests import fixtures

ACCOUNTS = ("clerks-a", "clerks-b")
SAMPLE = (fixtures.SAMPLES / "morning.csv").read_bytes()


def _sheet(data: bytes = SAMPLE) -> model.Sheet:
    parsed = parse.parse(data, ACCOUNTS).unwrap()
    return change.replace(model.empty(), parsed)


def _store() -> store.SheetStore:
    faults = memory.Faults()
    return store.SheetStore(
        memory.MemoryTable(faults), memory.MemoryObjects(faults), ACCOUNTS
    )


def test_start_is_interpreted_in_its_time_zone():
    row = _sheet().rows[0]
    zone = zoneinfo.ZoneInfo("Europe/Berlin")
    start = datetime.datetime(2026, 12, 7, 8, 30, tzinfo=zone)
    assert row.starts_at == start.timestamp()
    assert row.ends_at - row.starts_at == 90 * 60


def test_csv_dialects_of_spreadsheets_are_equivalent():
    semicolons = SAMPLE.replace(b",", b";").replace(b";600;", b";600,0;")
    with_byte_order_mark = b"\xef\xbb\xbf" + semicolons.replace(b"\n", b"\r\n")
    assert _sheet(with_byte_order_mark) == _sheet()


def test_written_csv_parses_to_the_same_sheet():
    sheet = _sheet()
    parsed = parse.parse(parse.to_csv(sheet).encode()).unwrap()
    assert change.replace(model.empty(), parsed) == sheet


def test_every_fault_is_reported_with_row_and_column():
    lines = SAMPLE.decode().splitlines()
    lines.append(lines[1].replace("clerks-a", "nobody"))
    lines.append(lines[1])
    lines.append(lines[1].replace("Berlin", "Bonn").replace(",2,4,", ",0,x,"))
    lines.append(lines[1].replace(",90,", ",60,").replace("clerks-a", "z"))
    lines.append("short,row")
    parsed = parse.parse("\n".join(lines).encode(), ACCOUNTS)
    places = {(fault.where, fault.code.number) for fault in parsed.failure()}
    assert ("row 4, column account", 2009) in places
    assert ("row 5", 2006) in places
    assert ("row 6, column time_zone", 2008) in places
    assert ("row 6, column replicas", 2005) in places
    assert ("row 6, column instances", 2005) in places
    assert ("row 8", 2014) in places


def test_local_time_of_a_clock_change_is_a_fault():
    skipped = SAMPLE.replace(b"2026-12-07 08:30", b"2026-03-29 02:30")
    repeated = SAMPLE.replace(b"2026-12-07 08:30", b"2026-10-25 02:30")
    for data, problem in ((skipped, "not exist"), (repeated, "twice")):
        faults = parse.parse(data, ACCOUNTS).failure()
        assert {fault.code.number for fault in faults} == {2008}
        assert problem in faults[0].detail


def test_start_in_an_implausible_year_is_a_fault():
    for year in (b"0001", b"1026", b"9999"):
        data = SAMPLE.replace(b"2026-12-07", year + b"-12-07")
        numbers = fixtures.failure_numbers(parse.parse(data, ACCOUNTS))
        assert numbers == [2005, 2005]


def test_contradicting_rows_of_one_event_are_faults():
    data = SAMPLE.replace(
        b"90,draft,v3,2,4,clerks-b", b"60,draft,v3,3,4,clerks-b"
    )
    numbers = fixtures.failure_numbers(parse.parse(data, ACCOUNTS))
    assert numbers == [2007, 2007]


def test_file_that_is_no_sheet_has_numbered_faults():
    for data, number in (
        (b"", 2002),
        (b"\xff\xfe\x00", 2001),
        (b"event;start\n", 2003),
        (SAMPLE.splitlines()[0], 2002),
    ):
        assert number in fixtures.failure_numbers(parse.parse(data))


def test_patch_sets_rows_and_reports_absent_ones():
    base = _sheet()
    set_patch = b"change," + SAMPLE.splitlines()[0] + b"\nset,"
    set_patch += SAMPLE.splitlines()[1].replace(b",600,", b",700,") + b"\n"
    changes = parse.parse(set_patch, ACCOUNTS, is_patch=True).unwrap()
    after = change.apply(base, changes).unwrap()
    assert [difference.key for difference in change.diff(base, after)] == [
        ("export-quotes", "draft", "clerks-a")
    ]
    remove_patch = b"change,event,model,account\nremove,a,b,c\n"
    changes = parse.parse(remove_patch, ACCOUNTS, is_patch=True).unwrap()
    assert fixtures.failure_numbers(change.apply(base, changes)) == [2013]


def test_written_patch_gives_the_same_sheet():
    base = _sheet()
    after = base.with_rows(2, base.rows[1:])
    patch = parse.patch_csv(
        (difference.key, difference.after)
        for difference in change.diff(base, after)
    )
    changes = parse.parse(patch, None, is_patch=True).unwrap()
    assert change.apply(base, changes).unwrap() == after


def test_codec_rejects_invalid_encodings():
    assert codec.decode(codec.encode(_sheet())) == _sheet()
    for data in (b"", b"[]", b'{"version":1}', b'{"version":1,"rows":[[1]]}'):
        try:
            codec.decode(data)
        except ValueError:
            continue
        raise AssertionError(data)


def test_repeated_submit_creates_no_new_version():
    sheets = _store()
    first = asyncio.run(sheets.submit(SAMPLE, "ayse")).unwrap()
    second = asyncio.run(sheets.submit(SAMPLE, "ayse")).unwrap()
    assert (first.sheet.version, second.sheet.version) == (1, 1)
    assert second.is_repeat


def test_lost_answer_is_resolved_by_reading_the_head():
    sheets = _store()
    sheets.table.faults.kind = memory.TableFault.ANSWER_LOST
    acceptance = asyncio.run(sheets.submit(SAMPLE, "ayse"))
    assert acceptance.unwrap().sheet.version == 1


def test_conflicting_submit_names_the_accepted_operator():
    sheets = _store()
    asyncio.run(sheets.submit(SAMPLE, "ayse"))
    changed = SAMPLE.replace(b",600,", b",500,")
    conflicting = asyncio.run(sheets.submit(changed, "bilal", base_version=0))
    assert conflicting.failure()[0].code is codes.SHEET_CONFLICT
    assert "ayse" in conflicting.failure()[0].detail


def test_concurrent_patches_are_all_accepted():
    sheets = _store()
    asyncio.run(sheets.submit(SAMPLE, "ayse"))
    header = b"change," + SAMPLE.splitlines()[0] + b"\n"
    rows = SAMPLE.splitlines()[1:]
    patches = [
        header + b"set," + row.replace(b",1\n", b",3\n")[:-1] + b"5\n"
        for row in rows
    ]

    async def submit_all():
        return await asyncio.gather(
            *(sheets.patch(patch, "x") for patch in patches)
        )

    acceptances = asyncio.run(submit_all())
    assert all(pipeline.is_successful(acceptance) for acceptance in acceptances)
    sheet = asyncio.run(sheets.load()).unwrap()
    assert sheet.version == 3
    assert {row.priority for row in sheet.rows} == {5}


def test_long_chain_of_patches_is_replaced_by_a_whole_sheet():
    sheets = _store()
    asyncio.run(sheets.submit(SAMPLE, "ayse"))
    header = b"change," + SAMPLE.splitlines()[0] + b"\n"
    row = SAMPLE.splitlines()[1]
    for number in range(40):
        cells = row.replace(b",600,", b",%d," % (700 + number))
        acceptance = asyncio.run(sheets.patch(header + b"set," + cells, "x"))
        assert pipeline.is_successful(acceptance)
    sheet = asyncio.run(sheets.load()).unwrap()
    assert sheet.version == 41
    assert sheet.rows[0].tokens_per_s == 739
    chain = sheets.table.rows[store.HEAD_KEY].value["objects"]
    assert len(chain) < 40


def test_no_sheet_is_accepted_while_the_platform_is_down():
    sheets = _store()
    sheets.table.faults.kind = memory.TableFault.DOWN
    acceptance = asyncio.run(sheets.submit(SAMPLE, "ayse"))
    assert acceptance.failure()[0].code is codes.TABLE_UNAVAILABLE
    sheets.table.faults.kind = memory.TableFault.NONE
    assert asyncio.run(sheets.head_version()).unwrap() == 0


@hypothesis.settings(derandomize=True, database=None, deadline=None)
@hypothesis.given(
    strategies.one_of(
        strategies.binary(max_size=300),
        strategies.text(max_size=300).map(str.encode),
        strategies.lists(
            strategies.lists(
                strategies.sampled_from(
                    [
                        "2026-12-07 08:30",
                        "UTC",
                        "Europe/Berlin",
                        "x",
                        "1e400",
                        "-1",
                        "nan",
                        "",
                        '"',
                        "2,5",
                        "../etc",
                    ]
                ),
                min_size=12,
                max_size=12,
            ),
            min_size=1,
            max_size=4,
        ).map(
            lambda rows: "\n".join(
                [";".join(parse.COLUMNS), *(";".join(row) for row in rows)]
            ).encode()
        ),
    ),
    strategies.booleans(),
)
def test_any_bytes_parse_to_a_sheet_or_numbered_faults(data, is_patch):
    parsed = parse.parse(data, ACCOUNTS, is_patch)
    if not pipeline.is_successful(parsed):
        numbers = fixtures.failure_numbers(parsed)
        assert numbers
        assert all(2000 < number < 3000 for number in numbers)
