"""A time line as one self-contained HTML page with an SVG picture."""

from collections.abc import Sequence
from html import escape

from pimentoscale.timeline import Event
from pimentoscale.timeline.clock import extract_wall_ms

WIDTH_PX = 1200
LEFT_PX = 170
ROW_PX = 34
TOP_PX = 40
MARK_PX = 4
COLORS = {
    "call_refused": "#c0392b",
    "retry_sent": "#e67e22",
    "call_ended": "#2c7a4b",
    "ticket_vetoed": "#8e44ad",
    "version_in_force": "#2471a3",
    "patch_rejected": "#c0392b",
    "member_gone": "#c0392b",
}
OTHER_COLOR = "#566573"


def draw_events(events: Sequence[Event]) -> str:
    """Return the page: a row for each instance, a mark for each event."""
    instances = sorted({event.instance for event in events})
    rows = {name: row for row, name in enumerate(instances)}
    first = extract_wall_ms(events[0].clock) if events else 0
    last = extract_wall_ms(events[-1].clock) if events else 1
    span_ms = max(1, last - first)
    parts = [_draw_row(name, row) for name, row in rows.items()]
    for event in events:
        part = (extract_wall_ms(event.clock) - first) / span_ms
        x = LEFT_PX + part * (WIDTH_PX - LEFT_PX - 20)
        parts.append(_draw_event(event, x, rows[event.instance]))
    height = TOP_PX + ROW_PX * len(rows) + 20
    title = f"{len(events)} events, {len(rows)} instances, {span_ms} ms"
    return (
        "<!doctype html><meta charset='utf-8'><title>time line</title>"
        "<body style='font-family:sans-serif'>"
        f"<svg width='{WIDTH_PX}' height='{height}' role='img'>"
        f"<text x='10' y='20' font-size='14'>{escape(title)}</text>"
        f"{''.join(parts)}</svg>{_draw_table(events, first)}</body>"
    )


def _draw_row(name: str, row: int) -> str:
    y = TOP_PX + ROW_PX * row + ROW_PX // 2
    return (
        f"<text x='10' y='{y + 4}' font-size='12'>{escape(name)}</text>"
        f"<line x1='{LEFT_PX}' x2='{WIDTH_PX - 20}' y1='{y}' y2='{y}' stroke='#ddd'/>"
    )


def _draw_event(event: Event, x: float, row: int) -> str:
    y = TOP_PX + ROW_PX * row + ROW_PX // 2
    color = COLORS.get(event.name, OTHER_COLOR)
    text = escape(f"{event.name} {event.request} {event.kind} {event.detail}")
    return (
        f"<circle cx='{x:.1f}' cy='{y}' r='{MARK_PX}' fill='{color}'>"
        f"<title>{text}</title></circle>"
    )


def _draw_table(events: Sequence[Event], first: int) -> str:
    lines = [
        "<table style='font-size:12px;border-spacing:8px 2px'><tr>"
        "<th>ms<th>instance<th>event<th>request<th>kind<th>detail"
    ]
    for event in events:
        cells = (
            str(extract_wall_ms(event.clock) - first),
            event.instance,
            event.name,
            event.request,
            event.kind,
            event.detail,
        )
        lines.append("<tr>" + "".join(f"<td>{escape(cell)}" for cell in cells))
    return "".join(lines) + "</table>"
