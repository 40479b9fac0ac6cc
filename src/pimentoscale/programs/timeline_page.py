"""A time line as a self-contained HTML page with an SVG chart and a table."""

from collections.abc import Sequence
from html import escape

from pimentoscale.timeline import Event
from pimentoscale.timeline.clock import extract_wall_ms

WIDTH_PX = 1200
LABEL_PX = 170
ROW_HEIGHT_PX = 34
TITLE_HEIGHT_PX = 40
MARKER_RADIUS_PX = 4
EVENT_COLORS = {
    "call_refused": "#c0392b",
    "retry_sent": "#e67e22",
    "call_ended": "#2c7a4b",
    "ticket_vetoed": "#8e44ad",
    "version_in_force": "#2471a3",
    "patch_rejected": "#c0392b",
    "member_gone": "#c0392b",
}
DEFAULT_COLOR = "#566573"


def render_timeline(events: Sequence[Event]) -> str:
    """Return the page; its chart has a row per instance and a marker per event."""
    instances = sorted({event.instance for event in events})
    rows = {name: row for row, name in enumerate(instances)}
    first_ms = extract_wall_ms(events[0].clock) if events else 0
    last_ms = extract_wall_ms(events[-1].clock) if events else 1
    span_ms = max(1, last_ms - first_ms)
    elements = [_render_row(name, row) for name, row in rows.items()]
    for event in events:
        fraction = (extract_wall_ms(event.clock) - first_ms) / span_ms
        x = LABEL_PX + fraction * (WIDTH_PX - LABEL_PX - 20)
        elements.append(_render_event(event, x, rows[event.instance]))
    height = TITLE_HEIGHT_PX + ROW_HEIGHT_PX * len(rows) + 20
    title = f"{len(events)} events, {len(rows)} instances, {span_ms} ms"
    return (
        "<!doctype html><meta charset='utf-8'><title>time line</title>"
        "<body style='font-family:sans-serif'>"
        f"<svg width='{WIDTH_PX}' height='{height}' role='img'>"
        f"<text x='10' y='20' font-size='14'>{escape(title)}</text>"
        f"{''.join(elements)}</svg>{_render_table(events, first_ms)}</body>"
    )


def _render_row(name: str, row: int) -> str:
    y = TITLE_HEIGHT_PX + ROW_HEIGHT_PX * row + ROW_HEIGHT_PX // 2
    return (
        f"<text x='10' y='{y + 4}' font-size='12'>{escape(name)}</text>"
        f"<line x1='{LABEL_PX}' x2='{WIDTH_PX - 20}' y1='{y}' y2='{y}' stroke='#ddd'/>"
    )


def _render_event(event: Event, x: float, row: int) -> str:
    y = TITLE_HEIGHT_PX + ROW_HEIGHT_PX * row + ROW_HEIGHT_PX // 2
    color = EVENT_COLORS.get(event.name, DEFAULT_COLOR)
    text = escape(f"{event.name} {event.request} {event.kind} {event.detail}")
    return (
        f"<circle cx='{x:.1f}' cy='{y}' r='{MARKER_RADIUS_PX}' fill='{color}'>"
        f"<title>{text}</title></circle>"
    )


def _render_table(events: Sequence[Event], first_ms: int) -> str:
    lines = [
        "<table style='font-size:12px;border-spacing:8px 2px'><tr>"
        "<th>ms<th>instance<th>event<th>request<th>kind<th>detail"
    ]
    for event in events:
        cells = (
            str(extract_wall_ms(event.clock) - first_ms),
            event.instance,
            event.name,
            event.request,
            event.kind,
            event.detail,
        )
        lines.append("<tr>" + "".join(f"<td>{escape(cell)}" for cell in cells))
    return "".join(lines) + "</table>"
